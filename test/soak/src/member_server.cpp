#include "member_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <map>
#include <sstream>

#include "godwitbarrow/platform/caller_wire.hpp"
#include "godwitbarrow/platform/member_wire.hpp"
#include "godwitbarrow/standins/http_server.hpp"
#include "godwitbarrow/stream/connection.hpp"

namespace soak
{

namespace asio = boost::asio;
namespace platform = godwitbarrow::platform;
namespace pooler = godwitbarrow::pooler;
namespace stream = godwitbarrow::stream;
using godwitbarrow::standins::call_after;
using tcp = asio::ip::tcp;

namespace detail
{

/// One connection of a host.
struct member_link
{
    stream::connection_ptr connection;
    model::session_number session = 0;
    std::deque<std::string> lines;
    bool running = false;
};
using member_link_ptr = std::shared_ptr<member_link>;

}  // namespace detail

struct member_server : std::enable_shared_from_this<member_server>
{
    member_server(asio::io_context& io, model::group& g, core::server_id s,
                  const member_limits& l,
                  std::function<void(const model::run&)> r)
        : acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}),
          group(g),
          server(std::move(s)),
          limits(l),
          ran(std::move(r))
    {
    }

    tcp::acceptor acceptor;
    model::group& group;
    core::server_id server;
    member_limits limits;
    std::function<void(const model::run&)> ran;
    std::map<detail::member_link*, detail::member_link_ptr> links;
    std::size_t busy = 0;
    std::deque<std::function<void()>> waiting;
};

namespace detail
{
namespace
{

void run_next(const member_server_ptr& it, const member_link_ptr& l);

model::member& member_of(member_server& it)
{
    return it.group.members.at(it.server);
}

std::string encode(const member_server_ptr& it, const pooler::answer& what)
{
    auto out = platform::encode_answer(what);
    // The answer to a caller ends in "-", that of a member in a position.
    out.resize(out.size() - 3);
    return out +
           platform::encode_position(
               what.at.value_or(model::position_of(member_of(*it)))) +
           "\r\n";
}

std::string status_row(const member_server_ptr& it)
{
    const auto& m = member_of(*it);
    const bool leads = model::leads(it->group, it->server);
    return std::string(leads ? "primary " : "replica ") +
           std::to_string(std::max(m.log_term, m.paused_at)) + ' ' +
           platform::encode_position(model::position_of(m)) + ' ' +
           std::to_string(m.paused_at) + " 0 " + std::to_string(it->busy) +
           ' ' + std::to_string(it->links.size());
}

/// Statements about the member itself; absent for others.
std::optional<pooler::answer> run_control(const member_server_ptr& it,
                                          const std::string& text)
{
    std::istringstream in(text);
    std::string word;
    core::term_number term = 0;
    in >> word >> term;
    auto& m = member_of(*it);
    if (word == "PAUSE" && term > m.log_term &&
        !model::leads(it->group, it->server))
        m.paused_at = std::max(m.paused_at, term);
    else if (word == "STEPDOWN")
        model::step_down(it->group, it->server, term);
    else if (word == "RESUME")
        m.paused_at = 0;
    else if (word != "STATUS" && word != "PAUSE")
        return std::nullopt;
    return pooler::answer{{status_row(it)}, pooler::success{}, {}, {}};
}

/// The statement of a line; the id "-" of the proxy becomes empty.
pooler::query parse_query(const std::string& id, const std::string& text)
{
    auto rest = text;
    pooler::query out;
    if (rest.rfind("AFTER ", 0) == 0)
    {
        const auto n = rest.find(' ', 6);
        out.after = platform::parse_position(rest.substr(6, n - 6));
        rest = rest.substr(n + 1);
    }
    out.id = {id == "-" ? "" : id};
    if (rest == "RESET")
    {
        out.stmt.kind = pooler::verb::reset;
        return out;
    }
    const auto parsed = platform::parse_caller_line("QUERY x " + rest);
    if (const auto* message = std::get_if<platform::caller_message>(&parsed))
        out.stmt = std::get<pooler::query>(*message).stmt;
    return out;
}

bool takes_slot(pooler::verb it)
{
    return it == pooler::verb::read || it == pooler::verb::write ||
           it == pooler::verb::execute || it == pooler::verb::commit;
}

void execute_now(const member_server_ptr& it, const member_link_ptr& l,
                 const pooler::query& what)
{
    if (it->links.count(l.get()) == 0)
        return;
    const auto out =
        model::execute(it->group, l->session, what, core::runtime_clock::now());
    if (out.what)
        it->ran(*out.what);
    if (out.answer)
        stream::send(l->connection, encode(it, *out.answer));
}

void release_slot(const member_server_ptr& it)
{
    --it->busy;
    if (it->waiting.empty())
        return;
    const auto next = std::move(it->waiting.front());
    it->waiting.pop_front();
    next();
}

void execute_in_slot(const member_server_ptr& it, const member_link_ptr& l,
                     const pooler::query& what)
{
    const auto start = [it, l, what]
    {
        ++it->busy;
        call_after(it->acceptor.get_executor(), it->limits.work,
                   [it, l, what]
                   {
                       execute_now(it, l, what);
                       l->running = false;
                       release_slot(it);
                       run_next(it, l);
                   });
    };
    l->running = true;
    if (it->busy < it->limits.slots)
        return start();
    it->waiting.push_back(start);
}

void run_line(const member_server_ptr& it, const member_link_ptr& l,
              const std::string& line)
{
    std::istringstream in(line);
    std::string word;
    std::string id;
    in >> word >> id;
    std::string text;
    std::getline(in >> std::ws, text);
    if (const auto control = run_control(it, text))
        return stream::send(l->connection, encode(it, *control));
    const auto what = parse_query(id, text);
    if (takes_slot(what.stmt.kind))
        return execute_in_slot(it, l, what);
    execute_now(it, l, what);
}

void run_next(const member_server_ptr& it, const member_link_ptr& l)
{
    // A member that has crashed or was removed runs nothing more.
    while (!l->running && !l->lines.empty() && it->links.count(l.get()) > 0)
    {
        const auto line = std::move(l->lines.front());
        l->lines.pop_front();
        run_line(it, l, line);
    }
}

/// The connection closes once the refusal is sent, and counts no longer.
void refuse(const member_server_ptr& it, const member_link_ptr& l,
            const std::string& code)
{
    stream::send(l->connection, "ERROR " + code + " refused\r\n");
    stream::close_after_sending(l->connection);
    it->links.erase(l.get());
}

void start_link(const member_server_ptr& it, const member_link_ptr& l,
                const std::string& line)
{
    std::istringstream in(line);
    std::string word;
    std::string group;
    std::string host;
    std::string id;
    in >> word >> group >> host >> id;
    if (group != it->group.name.value || id != it->server.value)
        return refuse(it, l, "MISROUTED");
    if (it->links.size() > it->limits.connections)
        return refuse(it, l, "TOOMANY");
    l->session = model::open_session(it->group, it->server);
    stream::send(l->connection, encode(it, {{}, {}, {}, {}}).substr(8));
}

void take_line(const member_server_ptr& it, const member_link_ptr& l,
               std::string_view line)
{
    if (l->session == 0)
        return start_link(it, l, std::string(line));
    l->lines.emplace_back(line);
    run_next(it, l);
}

void forget(const member_server_ptr& it, const member_link_ptr& l)
{
    model::close_session(it->group, l->session);
    it->links.erase(l.get());
}

void add_link(const member_server_ptr& it, tcp::socket socket)
{
    const auto l = std::make_shared<member_link>();
    it->links.emplace(l.get(), l);
    const std::weak_ptr<member_link> seen = l;
    stream::handlers on;
    on.received = [it, seen](std::string_view line)
    {
        const auto n = seen.lock();
        if (n && it->links.count(n.get()) > 0)
            take_line(it, n, line);
    };
    on.closed = [it, seen](const std::string&)
    {
        if (const auto n = seen.lock())
            forget(it, n);
    };
    l->connection = stream::adopt(std::move(socket), std::move(on));
    stream::start(l->connection);
}

void accept_next(const member_server_ptr& it)
{
    it->acceptor.async_accept(
        [it](boost::system::error_code ec, tcp::socket socket)
        {
            // A connection may have been accepted just before the member was
            // removed.
            if (ec || !it->acceptor.is_open())
                return;
            if (member_of(*it).running)
                add_link(it, std::move(socket));
            accept_next(it);
        });
}

}  // namespace
}  // namespace detail

member_server_ptr serve_member(asio::io_context& io, model::group& group,
                               const core::server_id& server,
                               const member_limits& limits,
                               std::function<void(const model::run&)> ran)
{
    auto it = std::make_shared<member_server>(io, group, server, limits,
                                              std::move(ran));
    detail::accept_next(it);
    return it;
}

std::uint16_t port_of(const member_server& it)
{
    return it.acceptor.local_endpoint().port();
}

void crash(member_server& it)
{
    model::stop_member(it.group, it.server);
    const auto links = std::move(it.links);
    it.links.clear();
    for (const auto& [key, l] : links)
        stream::close(l->connection);
}

void start_again(member_server& it)
{
    model::start_member(it.group, it.server);
}

void close_server(member_server& it)
{
    crash(it);
    boost::system::error_code ec;
    it.acceptor.close(ec);
}

}  // namespace soak
