#include "simulation.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <random>

#include "godwitbarrow/routing/candidates.hpp"
#include "godwitbarrow/serving/decide.hpp"

namespace godwitbarrow::bench
{
namespace detail
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t place_count = 3;
constexpr std::size_t host_count = 4;
constexpr std::size_t primary = 0;
constexpr duration poll_wait = 250ms;
constexpr std::chrono::milliseconds accepted_age{5000};
/// Share of the capacity that each rank uses without a flood.
constexpr std::array<double, core::rank_count> base_load{0.3, 0.5, 0.2};

core::server_id server_name(std::size_t n)
{
    return {"server-" + std::to_string(n)};
}

std::size_t index_of_server(const core::server_id& it)
{
    return static_cast<std::size_t>(it.value.back() - '0');
}

routing::location place_number(std::size_t n)
{
    return {{"dc-" + std::to_string(n)}, {"region-" + std::to_string(n)}};
}

struct poll
{
    std::size_t host = 0;
    core::time_point sent;
    core::log_number seen = 0;
};

struct member
{
    core::log_number position = 0;
    std::size_t running = 0;
    std::vector<poll> waiting;
};

struct call
{
    core::request request;
    std::size_t entry = 0;
    core::time_point started;
    std::vector<core::server_id> candidates;
    std::size_t next = 0;
    int answers = 0;
};

struct world
{
    const deployment& of;
    policy by;
    run_result result;
    core::time_point now{1000s};
    std::uint64_t order = 0;
    std::map<std::pair<core::time_point, std::uint64_t>, std::function<void()>>
        schedule;
    std::array<member, place_count> members;
    std::array<serving::group_state, host_count> hosts;
    std::map<core::request_id, call> calls;
    std::mt19937_64 random;
    core::time_point arrivals_end{};
};

void after(world& w, duration delay, std::function<void()> what)
{
    w.schedule.emplace(std::make_pair(w.now + delay, w.order++),
                       std::move(what));
}

duration distance(const world& w, std::size_t place_a, std::size_t place_b)
{
    return place_a == place_b ? duration(500us) : w.of.between_places;
}

std::size_t place_of_host(std::size_t host)
{
    return host % place_count;
}

duration exponential(world& w, duration mean)
{
    std::exponential_distribution<double> draw(1.0);
    return duration(static_cast<duration::rep>(
        draw(w.random) * static_cast<double>(mean.count())));
}

void give(world& w, std::size_t host, const serving::event& event);

core::member_status status_of(const world& w, std::size_t n)
{
    core::member_status it;
    it.term = 1;
    it.log_term = 1;
    it.position = w.members[n].position;
    it.role =
        n == primary ? core::member_role::primary : core::member_role::replica;
    it.primary_contact = true;
    return it;
}

void send_poll(world& w, std::size_t host, std::size_t n,
               core::log_number seen);

void answer_poll(world& w, std::size_t n, const poll& p)
{
    const auto status = status_of(w, n);
    after(w, distance(w, place_of_host(p.host), n),
          [&w, n, p, status]
          {
              give(w, p.host,
                   serving::status_received{server_name(n), status, p.sent});
              send_poll(w, p.host, n, status.position);
          });
}

void expire_poll(world& w, std::size_t n, const poll& p)
{
    auto& all = w.members[n].waiting;
    const auto it = std::find_if(
        all.begin(), all.end(),
        [&](const auto& x) { return x.host == p.host && x.sent == p.sent; });
    if (it == all.end())
        return;
    all.erase(it);
    answer_poll(w, n, p);
}

void send_poll(world& w, std::size_t host, std::size_t n, core::log_number seen)
{
    const poll p{host, w.now, seen};
    after(w, distance(w, place_of_host(host), n),
          [&w, n, p]
          {
              if (w.members[n].position != p.seen)
                  return answer_poll(w, n, p);
              w.members[n].waiting.push_back(p);
              after(w, poll_wait, [&w, n, p] { expire_poll(w, n, p); });
          });
}

void advance_member(world& w, std::size_t n, core::log_number to)
{
    w.members[n].position = std::max(w.members[n].position, to);
    auto waiting = std::move(w.members[n].waiting);
    w.members[n].waiting.clear();
    for (const auto& p : waiting)
        answer_poll(w, n, p);
}

void replicate(world& w)
{
    const auto to = w.members[primary].position;
    for (std::size_t n = 1; n < place_count; ++n)
        after(w, w.of.replication_lag + w.of.between_places,
              [&w, n, to] { advance_member(w, n, to); });
}

void reply(world& w, std::size_t host, const serving::send_statement& what,
           core::reply_status status)
{
    const auto n = index_of_server(what.server);
    core::backend_reply it;
    it.status = status;
    it.id = what.request.id;
    it.at = {1, w.members[n].position};
    after(w, distance(w, place_of_host(host), n),
          [&w, host, what, it] {
              give(w, host, serving::reply_received{what.dispatch, it});
          });
}

void execute(world& w, std::size_t host, const serving::send_statement& what)
{
    const auto n = index_of_server(what.server);
    if (w.members[n].running >= w.of.slots)
        return reply(w, host, what, core::reply_status::busy);
    ++w.members[n].running;
    after(w, exponential(w, w.of.service_time),
          [&w, host, what, n]
          {
              --w.members[n].running;
              if (what.request.access == core::access_mode::write)
              {
                  advance_member(w, n, w.members[n].position + 1);
                  replicate(w);
              }
              reply(w, host, what, core::reply_status::executed);
          });
}

void try_next(world& w, const core::request_id& id);

void finish(world& w, const core::request_id& id, const core::outcome& outcome)
{
    auto& c = w.calls.at(id);
    if (++c.answers > 1)
    {
        ++w.result.violations;
        return;
    }
    auto& rank = w.result.ranks[core::index_of(c.request.importance)];
    const auto* done = std::get_if<core::completed>(&outcome);
    if (done == nullptr)
    {
        const bool unknown =
            std::holds_alternative<core::outcome_unknown>(outcome);
        ++(unknown ? rank.unknown : rank.not_run);
        return;
    }
    if (w.now <= c.request.deadline)
        ++rank.completed;
    if (w.now <= w.arrivals_end)
        ++rank.completed_under_load;
    rank.latencies.push_back(w.now - c.started);
    if (c.request.access != core::access_mode::read)
        return;
    ++w.result.reads;
    if (done->server != server_name(primary))
        ++w.result.reads_on_replicas;
    if (c.request.token && done->at < *c.request.token)
        ++w.result.violations;
}

// From the server owner back to the entry host and the caller.
void return_answer(world& w, std::size_t host, const core::request_id& id,
                   const core::outcome& outcome)
{
    const auto entry = w.calls.at(id).entry;
    after(w,
          distance(w, place_of_host(host), place_of_host(entry)) +
              w.of.to_clients,
          [&w, id, outcome] { finish(w, id, outcome); });
}

void perform(world& w, std::size_t host, const serving::answer& what)
{
    return_answer(w, host, what.id, what.result);
}

void perform(world& w, std::size_t host, const serving::redirect& what)
{
    auto& c = w.calls.at(what.id);
    if (c.next >= c.candidates.size())
        return return_answer(w, host, what.id, core::not_run{what.reason, {}});
    after(w, distance(w, place_of_host(host), place_of_host(c.entry)),
          [&w, id = what.id] { try_next(w, id); });
}

void perform(world& w, std::size_t host, const serving::send_statement& what)
{
    after(w, distance(w, place_of_host(host), index_of_server(what.server)),
          [&w, host, what] { execute(w, host, what); });
}

void perform(world& w, std::size_t host, const serving::open_connection& what)
{
    after(w, w.of.connect_time,
          [&w, host, what] {
              give(w, host,
                   serving::connection_opened{what.server, what.connection});
          });
}

void perform(world&, std::size_t, const serving::close_connection&) {}

void perform(world& w, std::size_t host, const serving::probe_connection& what)
{
    after(w, 1ms,
          [&w, host, what] {
              give(w, host,
                   serving::connection_opened{what.server, what.connection});
          });
}

void perform(world&, std::size_t, const serving::refresh_view&) {}

void perform(world&, std::size_t, const serving::report_suspicion&) {}

void give(world& w, std::size_t host, const serving::event& event)
{
    for (const auto& action : serving::decide(w.hosts[host], event, w.now))
        std::visit([&](const auto& it) { perform(w, host, it); }, action);
}

// With one owner a server, host n owns server n. With an equal split, the
// entry host itself holds a part of each server.
std::size_t owner_of(const world& w, const call& c, const core::server_id& it)
{
    return w.by == policy::equal_split ? c.entry : index_of_server(it);
}

void try_next(world& w, const core::request_id& id)
{
    auto& c = w.calls.at(id);
    const auto server = c.candidates[c.next++];
    const auto host = owner_of(w, c, server);
    after(w, distance(w, place_of_host(c.entry), place_of_host(host)),
          [&w, id, server, host] {
              give(w, host,
                   serving::request_arrived{w.calls.at(id).request, server});
          });
}

std::vector<core::server_id> candidates_for(const world& w, const call& c)
{
    if (w.by == policy::primary_only)
        return {server_name(primary)};
    std::vector<routing::member_entry> members;
    for (std::size_t n = 0; n < place_count; ++n)
        members.push_back({server_name(n), place_number(n), false, false});
    return routing::candidate_servers(c.request, members, server_name(primary),
                                      place_number(place_of_host(c.entry)), {});
}

void arrive(world& w, core::rank importance)
{
    call c;
    c.request.id = {"r" + std::to_string(w.calls.size())};
    c.request.group = {"group"};
    c.request.importance = importance;
    const bool read = importance == core::rank::interactive;
    c.request.access =
        read ? core::access_mode::read : core::access_mode::write;
    if (read)
        c.request.max_age = accepted_age;
    else
        c.request.key = core::idempotency_key{c.request.id.value};
    c.started = w.now;
    c.request.deadline = w.now + w.of.deadline[core::index_of(importance)];
    c.entry = w.random() % host_count;
    c.candidates = candidates_for(w, c);
    ++w.result.ranks[core::index_of(importance)].offered;
    const auto id = c.request.id;
    w.calls.emplace(id, std::move(c));
    after(w, w.of.to_clients, [&w, id] { try_next(w, id); });
}

void generate(world& w, core::rank importance, duration mean_gap,
              core::time_point until)
{
    after(w, exponential(w, mean_gap),
          [&w, importance, mean_gap, until]
          {
              if (w.now >= until)
                  return;
              arrive(w, importance);
              generate(w, importance, mean_gap, until);
          });
}

// Reads are served by the two replicas, writes by the primary.
double capacity(const deployment& of, core::rank importance)
{
    const double seconds =
        std::chrono::duration<double>(of.service_time).count();
    const double one = static_cast<double>(of.slots) / seconds;
    return importance == core::rank::interactive ? 2 * one : one;
}

duration gap_of(const deployment& of, core::rank importance, const load& under)
{
    const bool flood = under.all || under.flood == importance;
    const double share =
        flood ? under.factor : base_load[core::index_of(importance)];
    const double rate = share * capacity(of, importance);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / rate));
}

serving::group_settings settings_for(const deployment& of, policy by,
                                     std::size_t host)
{
    const std::size_t parts = by == policy::equal_split ? host_count : 1;
    serving::group_settings it;
    it.group = {"group"};
    it.self = {"host-" + std::to_string(host)};
    for (std::size_t n = 0; n < place_count; ++n)
        it.servers.push_back({server_name(n),
                              std::max<std::size_t>(1, of.slots / parts),
                              of.connections / parts + 3});
    it.queue.minimum_share = of.minimum_share;
    it.queue.urgent_slots = of.reserved_slots;
    if (by == policy::first_come_first_served)
        it.queue.scheduling =
            admission::scheduling_policy::first_come_first_served;
    return it;
}

void start_hosts(world& w)
{
    for (std::size_t host = 0; host < host_count; ++host)
    {
        w.hosts[host] =
            serving::make_group_state(settings_for(w.of, w.by, host), host + 1);
        serving::ownership_changed ownership;
        for (std::size_t n = 0; n < place_count; ++n)
            if (w.by == policy::equal_split || n == host)
                ownership.owned.push_back(server_name(n));
        give(w, host, ownership);
        give(w, host, serving::view_changed{1, server_name(primary)});
        for (std::size_t n = 0; n < place_count; ++n)
            send_poll(w, host, n, 0);
    }
}

// Runs the earliest timer or scheduled step.
void run_until(world& w, core::time_point end)
{
    while (w.now < end)
    {
        auto next = w.schedule.begin()->first.first;
        std::optional<std::size_t> ticking;
        for (std::size_t host = 0; host < host_count; ++host)
        {
            const auto due = serving::next_wakeup(w.hosts[host]);
            if (!due || *due >= next)
                continue;
            next = *due;
            ticking = host;
        }
        w.now = std::max(w.now, next);
        if (ticking)
        {
            give(w, *ticking, serving::tick{});
            continue;
        }
        auto what = std::move(w.schedule.begin()->second);
        w.schedule.erase(w.schedule.begin());
        what();
    }
}

}  // namespace
}  // namespace detail

run_result simulate(const deployment& of, policy by, const load& under,
                    std::chrono::seconds time, std::uint64_t seed)
{
    detail::world w{of, by,
                    {}, core::time_point(std::chrono::seconds(1000)),
                    0,  {},
                    {}, {},
                    {}, std::mt19937_64(seed)};
    detail::start_hosts(w);
    detail::run_until(w, w.now + std::chrono::seconds(1));
    const auto end = w.now + time;
    w.arrivals_end = end;
    for (const auto n : core::all_ranks)
        detail::generate(w, n, detail::gap_of(of, n, under), end);
    const auto longest =
        *std::max_element(of.deadline.begin(), of.deadline.end());
    detail::run_until(w, end + longest + std::chrono::seconds(2));
    for (const auto& n : w.calls)
        if (n.second.answers == 0)
            ++w.result.violations;
    return std::move(w.result);
}

duration percentile(std::vector<duration> values, double share)
{
    if (values.empty())
        return {};
    const auto n = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(n),
                     values.end());
    return values[n];
}

}  // namespace godwitbarrow::bench
