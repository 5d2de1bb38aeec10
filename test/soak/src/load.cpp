#include "load.hpp"

#include <boost/asio/io_context.hpp>

#include "godwitbarrow/platform/caller_wire.hpp"
#include "godwitbarrow/standins/http_server.hpp"

namespace soak
{
namespace detail
{
namespace
{

using godwitbarrow::standins::call_after;
using namespace std::chrono_literals;

constexpr std::chrono::milliseconds connect_timeout{1000};
/// A caller that waits longer gives up its session.
constexpr std::chrono::milliseconds patience{3000};
constexpr unsigned items = 12;

std::uint64_t below(load& it, std::uint64_t limit)
{
    return it.random() % limit;
}

std::chrono::milliseconds some_time(load& it, std::uint64_t most)
{
    return std::chrono::milliseconds(1 + below(it, most));
}

void connect(load& it, caller& c);
void send_next(load& it, caller& c);

void connect_later(load& it, caller& c)
{
    call_after(it.around.io.get_executor(), some_time(it, 150),
               [&it, &c]
               {
                   if (!it.stopped && c.session == 0)
                       connect(it, c);
               });
}

/// The session is over, for whatever reason.
void forget_session(load& it, caller& c)
{
    if (c.session == 0)
        return;
    if (c.started)
        model::caller_ended(it.around.judge, c.session);
    c.session = 0;
    c.link.reset();
    connect_later(it, c);
}

void leave(load& it, caller& c)
{
    if (c.link)
        stream::close(c.link);
    forget_session(it, c);
}

void take_close(load& it, caller& c, std::uint64_t session)
{
    if (c.session != session)
        return;
    const auto waited = core::runtime_clock::now() - c.asked;
    const auto& judge = it.around.judge;
    if (c.started && c.waiting &&
        (waited > cut_slack ||
         judge.statements.at(*judge.callers.at(session).waiting).ran))
        ++it.cut;
    forget_session(it, c);
}

std::string item(load& it)
{
    return "i" + std::to_string(below(it, items));
}

std::string read(load& it)
{
    return "READ " + item(it);
}

std::string write(load& it)
{
    return "WRITE " + item(it) + " v" + std::to_string(it.random());
}

std::deque<std::string> transaction(load& it)
{
    const bool reads = below(it, 3) == 0;
    std::deque<std::string> out{reads ? "BEGIN READ" : "BEGIN"};
    for (auto n = 1 + below(it, 4); n > 0; --n)
        out.push_back(reads || below(it, 2) == 0 ? read(it) : write(it));
    out.emplace_back(below(it, 6) == 0 ? "ROLLBACK" : "COMMIT");
    return out;
}

std::deque<std::string> prepared(load& it)
{
    const bool writes = below(it, 2) == 0;
    const auto name = "s" + std::to_string(below(it, 2));
    const auto shape = "q" + std::to_string(below(it, 4));
    std::deque<std::string> out{"PREPARE " + name +
                                (writes ? " WRITE " : " READ ") + shape};
    for (int n = 0; n < 2; ++n)
        out.push_back("EXECUTE " + name + ' ' + item(it) +
                      (writes ? " p" + std::to_string(it.random()) : ""));
    if (below(it, 4) == 0)
        out.push_back("DEALLOC " + name);
    return out;
}

std::deque<std::string> next_script(load& it)
{
    switch (below(it, 8))
    {
        case 0:
            return transaction(it);
        case 1:
            return prepared(it);
        case 2:
            return {"SET n" + std::to_string(below(it, 2)) + " v" +
                    std::to_string(below(it, 3))};
        case 3:
        case 4:
            return {write(it)};
        default:
            return {read(it)};
    }
}

void send_line(load& it, caller& c, const std::string& text)
{
    const auto id = "q" + std::to_string(++it.last_id);
    const auto line = "QUERY " + id + ' ' + text;
    const auto parsed = platform::parse_caller_line(line);
    const auto& message = std::get<platform::caller_message>(parsed);
    c.waiting = true;
    c.asked = core::runtime_clock::now();
    ++it.served[c.database].asked;
    model::statement_sent(it.around.judge, c.session,
                          std::get<pooler::query>(message), c.asked);
    stream::send(c.link, line + "\r\n");
    call_after(it.around.io.get_executor(), patience,
               [&it, &c, session = c.session, asked = c.asked]
               {
                   if (c.session == session && c.waiting && c.asked == asked)
                       leave(it, c);
               });
}

void send_next(load& it, caller& c)
{
    if (c.waiting || c.session == 0 || !c.started)
        return;
    if (c.script.empty())
    {
        if (it.stopped || c.operations == 0)
            return leave(it, c);
        --c.operations;
        c.script = next_script(it);
    }
    // Some callers go away in the middle.
    if (c.in_transaction && below(it, 40) == 0)
        return leave(it, c);
    const auto text = std::move(c.script.front());
    c.script.pop_front();
    send_line(it, c, text);
}

void take_answer(load& it, caller& c, const pooler::answer& a)
{
    const auto now = core::runtime_clock::now();
    if (!c.waiting)
    {
        it.around.judge.violations.push_back(
            "own answers: an answer to nothing was sent");
        return leave(it, c);
    }
    c.waiting = false;
    model::statement_answered(it.around.judge, c.session, a, now);
    c.in_transaction = a.state != pooler::session_state::idle;
    const bool failed = pooler::failure_of(a) != nullptr;
    it.served[c.database].served += failed ? 0 : 1;
    if (failed)
    {
        c.script.clear();
        if (c.in_transaction)
            c.script.emplace_back("ROLLBACK");
    }
    call_after(it.around.io.get_executor(), some_time(it, 60),
               [&it, &c, session = c.session]
               {
                   if (c.session == session)
                       send_next(it, c);
               });
}

void take_started(load& it, caller& c)
{
    const auto route = it.around.routes.find(c.database);
    if (route == it.around.routes.end())
        return leave(it, c);
    c.started = true;
    model::caller_started(it.around.judge, c.session, route->second);
    send_next(it, c);
}

void take_line(load& it, caller& c, std::uint64_t session,
               std::string_view line)
{
    if (c.session != session)
        return;
    const auto got = platform::take_member_line(c.partial, line);
    if (!ok(got))
    {
        it.around.judge.violations.push_back(
            "own answers: a line that is no answer: " + std::string(line));
        return leave(it, c);
    }
    const auto& a = std::get<std::optional<pooler::answer>>(got);
    if (!a)
        return;
    if (!c.started)
        return take_started(it, c);
    take_answer(it, c, *a);
}

void connect(load& it, caller& c)
{
    const auto session = ++it.last_session;
    c.session = session;
    c.host = below(it, it.hosts.hosts.size());
    c.started = c.waiting = c.in_transaction = false;
    c.partial = {};
    c.script.clear();
    c.operations = 1 + static_cast<unsigned>(below(it, 30));
    stream::handlers on;
    on.received = [&it, &c, session](std::string_view line)
    {
        take_line(it, c, session, line);
    };
    on.closed = [&it, &c, session](const std::string&)
    {
        take_close(it, c, session);
    };
    c.link = stream::connect(
        it.around.io.get_executor(), it.hosts.hosts[c.host].callers,
        connect_timeout,
        [&c, session]
        {
            if (c.session == session)
                stream::send(c.link, "STARTUP " + c.database + " soak\r\n");
        },
        std::move(on));
}

}  // namespace
}  // namespace detail

void start_load(load& it, std::size_t callers_of_each_database)
{
    for (const auto& [name, route] : it.around.routes)
        for (std::size_t n = 0; n < callers_of_each_database; ++n)
        {
            auto c = std::make_unique<caller>();
            c->number = it.callers.size();
            c->database = name;
            it.callers.push_back(std::move(c));
        }
    for (const auto& c : it.callers)
        detail::connect_later(it, *c);
}

void stop_load(load& it)
{
    it.stopped = true;
    for (const auto& c : it.callers)
        detail::leave(it, *c);
}

}  // namespace soak
