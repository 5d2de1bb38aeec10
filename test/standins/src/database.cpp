#include "godwitbarrow/standins/database.hpp"

#include <exception>
#include <string_view>
#include <utility>

#include "database_state.hpp"
#include "godwitbarrow/standins/database_messages.hpp"

namespace godwitbarrow::standins
{

namespace detail
{
namespace
{

using std::chrono::milliseconds;

constexpr unsigned code_bad_request = 400;
constexpr unsigned code_not_found = 404;
constexpr unsigned code_conflict = 409;
constexpr unsigned code_unavailable = 503;
/// How long a pull without news is held.
constexpr milliseconds pull_wait{200};

using session = http_session_ptr;

core::time_point now()
{
    return core::runtime_clock::now();
}

void answer(const database_ptr& it, const session& s, std::string body,
            unsigned code = 200)
{
    reply(s, {code, std::move(body), false}, it->answer_delay);
}

void answer_status(const database_ptr& it, const session& s)
{
    answer(it, s, encode_status(status_of(it->member, now())));
}

void refuse(const database_ptr& it, const session& s, const char* why)
{
    answer(it, s, why, code_conflict);
}

void run_statement(const database_ptr& it, const session& s,
                   const backend::statement_call& call)
{
    --it->running;
    std::optional<transaction> none;
    const auto found = it->clients.find(number_of(s));
    auto& open = found == it->clients.end() ? none : found->second;
    const auto r = execute(it->member, open, call, now());
    notify_change(it);
    answer(it, s, encode_reply(r));
}

void take_statement(const database_ptr& it, const session& s,
                    const http_request& r)
{
    const auto call = decode_call(r.body);
    if (it->running >= it->options.slots)
    {
        core::backend_reply busy;
        busy.status = core::reply_status::busy;
        busy.id = call.id;
        busy.at = {it->member.term, it->member.log.size()};
        busy.message = "all slots are taken; send fewer statements at a time";
        return answer(it, s, encode_reply(busy));
    }
    ++it->running;
    call_after(it->executor, it->options.service_time,
               [it, s, call] { run_statement(it, s, call); });
}

std::uint64_t query_number(const http_request& r, const char* field)
{
    const auto found = r.query.find(field);
    return found == r.query.end() ? 0 : std::stoull(found->second);
}

bool same(const core::member_status& a, const core::member_status& b)
{
    return a.term == b.term && a.log_term == b.log_term &&
           a.position == b.position && a.role == b.role &&
           a.primary_contact == b.primary_contact;
}

void take_status(const database_ptr& it, const session& s,
                 const http_request& r)
{
    const auto after = query_number(r, "after");
    const auto until = now() + milliseconds(query_number(r, "wait_ms"));
    const auto first = status_of(it->member, now());
    wait_for(it,
             [it, s, after, until, first]() -> std::optional<core::time_point>
             {
                 const auto present = status_of(it->member, now());
                 if (now() < until && present.position == after &&
                     same(present, first))
                     return until;
                 answer_status(it, s);
                 return {};
             });
}

void take_fence(const database_ptr& it, const session& s, const http_request& r)
{
    const auto c = decode_term_call(r.body);
    if (!fence(it->member, c.term, c.attempt))
        return refuse(it, s, "a higher term or another attempt was accepted");
    notify_change(it);
    answer_status(it, s);
}

void take_promote(const database_ptr& it, const session& s,
                  const http_request& r)
{
    const auto c = decode_term_call(r.body);
    const auto base = promote(it->member, c.term, c.attempt);
    if (!base)
        return refuse(it, s, "the member was not fenced by this attempt");
    notify_change(it);
    auto status = status_of(it->member, now());
    status.position = *base;
    answer(it, s, encode_status(status));
}

void take_follow(const database_ptr& it, const session& s,
                 const http_request& r)
{
    const auto c = decode_follow_call(r.body);
    if (it->options.peers.count(c.primary) == 0)
        return answer(it, s, "unknown member; add it to --peers",
                      code_bad_request);
    if (!follow(it->member, c.term, c.primary, now()))
        return refuse(it, s, "a higher term or another primary was accepted");
    notify_change(it);
    wake_replication(it);
    answer_status(it, s);
}

void take_lookup(const database_ptr& it, const session& s,
                 const http_request& r)
{
    const auto key = decode_lookup_call(r.body);
    answer(it, s, encode_lookup_answer(lookup(it->member, key, now())));
}

void take_pull_call(const database_ptr& it, const session& s,
                    const http_request& r)
{
    const auto request = decode_pull(r.body);
    const auto until = now() + pull_wait;
    wait_for(it,
             [it, s, request, until]() -> std::optional<core::time_point>
             {
                 if (it->links_cut)
                 {
                     drop(s);
                     return {};
                 }
                 const auto a = answer_pull(it->member, request, now());
                 if (now() < until && !has_news(request, a))
                     return std::min(
                         until,
                         next_due(it->member, request, a).value_or(until));
                 reply(s, {200, encode_pull_reply(a), false});
                 return {};
             });
}

void take_faults(const database_ptr& it, const session& s,
                 const http_request& r)
{
    const auto f = decode_database_faults(r.body);
    it->replication_paused =
        f.pause_replication.value_or(it->replication_paused);
    it->links_cut = f.cut_links.value_or(it->links_cut);
    it->options.lag = f.lag.value_or(it->options.lag);
    it->answer_delay = f.delay.value_or(it->answer_delay);
    if (f.silence_connections)
        silence_sessions(it->server, s);
    notify_change(it);
    reply(s, {200, "{}", false});
}

void take_dump(const database_ptr& it, const session& s, const http_request&)
{
    reply(s, {200, encode_dump(it->member, now()), false});
}

using route_function = void (*)(const database_ptr&, const session&,
                                const http_request&);

struct route
{
    std::string_view path;
    route_function take;
    /// Whether the connection counts towards the limit.
    bool for_clients;
};

constexpr route routes[] = {
    {"/execute", take_statement, true}, {"/status", take_status, true},
    {"/fence", take_fence, true},       {"/promote", take_promote, true},
    {"/follow", take_follow, true},     {"/lookup", take_lookup, true},
    {"/pull", take_pull_call, false},   {"/faults", take_faults, false},
    {"/dump", take_dump, false},
};

void run_route(const database_ptr& it, const session& s, const http_request& r,
               route_function take)
{
    try
    {
        take(it, s, r);
    }
    catch (const std::exception& e)
    {
        answer(it, s, e.what(), code_bad_request);
    }
}

void take_client_request(const database_ptr& it, const session& s,
                         const http_request& r, route_function take)
{
    if (it->clients.count(number_of(s)) > 0)
        return run_route(it, s, r, take);
    if (it->clients.size() >= it->options.connections)
        return reply(s, {code_unavailable, "connection limit reached", true});
    it->clients.emplace(number_of(s), std::nullopt);
    call_after(it->executor, it->options.connect_cost,
               [it, s, r, take] { run_route(it, s, r, take); });
}

void take_request(const database_ptr& it, const session& s,
                  const http_request& r)
{
    for (const auto& known : routes)
    {
        if (known.path != r.path)
            continue;
        if (known.for_clients)
            return take_client_request(it, s, r, known.take);
        return run_route(it, s, r, known.take);
    }
    reply(s, {code_not_found, "unknown path", false});
}

}  // namespace
}  // namespace detail

database_ptr start_database(const boost::asio::any_io_executor& executor,
                            const database_options& options)
{
    auto it = std::make_shared<database>(executor, options);
    it->member =
        initial_state(options.name, options.term, options.role, detail::now());
    const std::weak_ptr<database> weak = it;
    http_hooks hooks;
    hooks.on_request = [weak](const http_session_ptr& s, const http_request& r)
    {
        if (const auto d = weak.lock())
            detail::take_request(d, s, r);
    };
    hooks.on_close = [weak](std::uint64_t n)
    {
        if (const auto d = weak.lock())
            d->clients.erase(n);
    };
    it->server =
        listen(executor, options.address, options.port, std::move(hooks));
    start_replication(it);
    return it;
}

std::uint16_t port_of(const database_ptr& it)
{
    return port_of(it->server);
}

void set_peers(const database_ptr& it,
               std::map<std::string, core::endpoint> peers)
{
    it->options.peers = std::move(peers);
}

void stop(const database_ptr& it)
{
    it->stopped = true;
    stop(it->server);
    it->pull_timer.cancel();
    notify_change(it);
}

}  // namespace godwitbarrow::standins
