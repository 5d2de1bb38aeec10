#include "placement.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "connections.hpp"
#include "freshness.hpp"
#include "primary_evidence.hpp"
#include "sending.hpp"

namespace godwitbarrow::pooler::detail
{
namespace
{

core::request_id queue_key(session_number number)
{
    return {std::to_string(number)};
}

session_number session_of(const admission::queue_entry& it)
{
    return std::stoull(it.id.value);
}

admission::queue_settings queue_limits()
{
    admission::queue_settings it;
    it.max_entries = 2000;
    return it;
}

/// Maximum queueing time of a statement. A caller that is refused this early
/// still has time to retry, possibly through another host.
core::duration max_queueing_time(const context& ctx, const route& by)
{
    return core::duration(by.objective) /
           ctx.pooler.settings.queue_wait_divisor;
}

admission::queue_entry make_queue_entry(const context& ctx,
                                        session_number number,
                                        const caller_session& s)
{
    admission::queue_entry it;
    it.id = queue_key(number);
    it.importance = s.active_route.importance;
    it.arrived = s.current->arrived;
    it.deadline = std::min(s.current->deadline,
                           ctx.now + max_queueing_time(ctx, s.active_route));
    return it;
}

/// A member and an idle connection on which a queued statement can start.
struct assignment
{
    core::server_id server;
    connection_number connection = 0;
};

bool is_skipped(const member& m, const pending_statement& p,
                const pooler_settings& settings, core::time_point now)
{
    if (m.record.leaving || p.excluded.count(m.record.server) > 0)
        return true;
    if (m.lagging_until && *m.lagging_until > now)
        return true;
    return m.failed_at && now - *m.failed_at < settings.failed_back_off;
}

/// Least time that a connection to a member of the group took.
std::optional<core::duration> fastest_open(const group& g)
{
    std::optional<core::duration> out;
    for (const auto& [id, m] : g.members)
        if (m.fastest_open && (!out || *m.fastest_open < *out))
            out = m.fastest_open;
    return out;
}

/// Time for the network beyond that to the nearest member of the group; at
/// equal distance the local data centre is preferred. A remote member that was
/// never connected to comes first once, to find out its distance, unless a
/// replica of the local data centre can serve.
core::duration network_time(const context& ctx, const member& m,
                            std::optional<core::duration> fastest,
                            bool has_local)
{
    const auto& settings = ctx.pooler.settings;
    const bool local = m.record.data_centre == settings.data_centre;
    if (m.fastest_open && fastest)
    {
        const auto beyond =
            std::max(*m.fastest_open - *fastest, core::duration{});
        return local
                   ? beyond
                   : std::max<core::duration>(beyond, settings.load.resolution);
    }
    const bool unknown = m.failed_opens == 0 && (local || !has_local);
    return unknown ? core::duration{} : settings.unknown_network_time;
}

bool has_local_replica(const context& ctx, const group& g)
{
    return std::any_of(g.members.begin(), g.members.end(),
                       [&](const auto& n)
                       {
                           return g.primary != n.first &&
                                  n.second.record.data_centre ==
                                      ctx.pooler.settings.data_centre;
                       });
}

/// The members that may run a read of bounded age. The primary is kept free,
/// because only it can run writes.
std::vector<routing::load_candidate> load_candidates(const context& ctx,
                                                     const group& g,
                                                     const pending_statement& p)
{
    std::vector<routing::load_candidate> out;
    const auto fastest = fastest_open(g);
    const bool has_local = has_local_replica(ctx, g);
    for (const auto& [id, m] : g.members)
    {
        if (is_skipped(m, p, ctx.pooler.settings, ctx.now))
            continue;
        out.push_back({id, m.load, m.running, m.record.slots,
                       network_time(ctx, m, fastest, has_local),
                       g.primary == id});
    }
    return out;
}

/// Returns the members that may run a read of bounded age, those on which it
/// ends soonest first. Hosts order equal members differently, so that the reads
/// of all hosts spread over them while each host uses few connections.
std::vector<core::server_id> read_candidates(const context& ctx, const group& g,
                                             const pending_statement& p)
{
    using rating = std::tuple<core::duration, std::uint64_t, core::server_id>;
    const auto members = load_candidates(ctx, g, p);
    const auto& settings = ctx.pooler.settings;
    const auto times =
        routing::expected_times(members, settings.load, settings.host, ctx.now);
    std::vector<rating> rated;
    for (std::size_t n = 0; n < members.size(); ++n)
        rated.emplace_back(times[n], g.members.at(members[n].server).preference,
                           members[n].server);
    std::sort(rated.begin(), rated.end());
    std::vector<core::server_id> out;
    out.reserve(rated.size());
    for (auto& it : rated)
        out.push_back(std::move(std::get<core::server_id>(it)));
    return out;
}

std::vector<core::server_id> candidates(const context& ctx, const group& g,
                                        const caller_session& s)
{
    if (!s.current->primary_only &&
        required_position(g, s, ctx.pooler.settings))
        if (auto reads = read_candidates(ctx, g, *s.current); !reads.empty())
            return reads;
    const auto primary = primary_candidate(g, ctx.pooler.settings, ctx.now);
    if (!primary)
        return {};
    // While no primary is known, the candidate is a guess. A replica that
    // refused this read as lagging would refuse it again.
    if (!s.current->primary_only && primary != g.primary &&
        s.current->excluded.count(*primary) > 0)
        return {};
    return {*primary};
}

/// A statement that finds no idle connection of its workspace.
struct unmet_request
{
    core::workspace_id workspace;
    /// Members that may run the statement, best first.
    std::vector<core::server_id> servers;
};

/// Opens a connection to the best member that allows one. One that is being
/// opened for the workspace and not in `expected` is awaited instead.
void open_for(context& ctx, group& g, const unmet_request& request,
              std::set<connection_number>& expected)
{
    for (const auto& id : request.servers)
        for (const auto number : g.members.at(id).connections)
        {
            const auto& c = ctx.pooler.connections.at(number);
            if (c.phase == connection_phase::opening &&
                c.workspace == request.workspace &&
                expected.insert(number).second)
                return;
        }
    for (const auto& id : request.servers)
        if (open_within_limits(ctx, g, g.members.at(id), request.workspace))
        {
            expected.insert(ctx.pooler.last_connection);
            return;
        }
}

/// Selects an idle connection for the statement. If there is none, adds the
/// members to which one could be opened to `unmet`. Callers without a workspace
/// share all connections, so one to the best available member is opened at once
/// for later statements.
std::optional<assignment> find_assignment(context& ctx, group& g,
                                          const caller_session& s,
                                          std::vector<unmet_request>& unmet)
{
    unmet_request request{s.workspace, {}};
    const bool shared = s.workspace.value.empty();
    const bool primary_only = s.current->primary_only ||
                              !required_position(g, s, ctx.pooler.settings);
    for (const auto& id : candidates(ctx, g, s))
    {
        auto& m = g.members.at(id);
        if (primary_only)
            refresh_evidence(ctx, g, id);
        if (primary_only && !is_confirmed(ctx, g, id))
            continue;
        if (m.running >= running_limit(ctx.pooler, m))
            continue;
        if (m.busy_until && *m.busy_until > ctx.now)
            continue;
        const auto number = pick_idle(ctx.pooler, m, s);
        if (number != 0)
            return assignment{id, number};
        if (shared && request.servers.empty())
            open_within_limits(ctx, g, m, s.workspace);
        request.servers.push_back(id);
    }
    if (!shared && !request.servers.empty())
        unmet.push_back(std::move(request));
    return std::nullopt;
}

void start_statement(context& ctx, group& g, session_number number,
                     const assignment& at)
{
    auto& s = ctx.pooler.sessions.at(number);
    auto& p = *s.current;
    auto& c = ctx.pooler.connections.at(at.connection);
    c.phase = connection_phase::busy;
    c.user = number;
    c.phase_since = ctx.now;
    c.sent = ctx.now;
    ++g.members.at(at.server).running;
    p.connection = at.connection;
    p.queued = false;
    p.holds_slot = true;
    ++p.attempts;
    send_first(ctx, g, number);
}

/// Opens connections for statements of workspaces, in the order of the queue.
void open_for_all(context& ctx, group& g,
                  const std::vector<unmet_request>& unmet)
{
    std::set<connection_number> expected;
    for (const auto& request : unmet)
        open_for(ctx, g, request, expected);
}

void dispatch_queue(context& ctx, group& g, admission::queue_state& queue)
{
    const auto limits = queue_limits();
    while (admission::waiting_count(queue) > 0)
    {
        std::optional<assignment> chosen;
        std::vector<unmet_request> unmet;
        // Entries of one session key and policy differ in the members that may
        // run them, so a later entry can be ready when the first is not.
        const auto ready = [&](const admission::queue_entry& entry)
        {
            const auto& s = ctx.pooler.sessions.at(session_of(entry));
            chosen = find_assignment(ctx, g, s, unmet);
            return chosen.has_value();
        };
        const auto next = admission::dequeue_next(queue, limits, ready);
        // Only once no statement can start, so that none loses its connection
        // to one that is opened for another.
        if (!next)
            return open_for_all(ctx, g, unmet);
        const auto number = session_of(*next);
        // The last entry that `ready` examined need not be the one taken.
        chosen = find_assignment(ctx, g, ctx.pooler.sessions.at(number), unmet);
        if (!chosen)
            return;
        start_statement(ctx, g, number, *chosen);
    }
}

void update_queue_slots(context& ctx, group& g)
{
    std::size_t all = 0;
    std::size_t primary = 2;
    for (const auto& [id, m] : g.members)
    {
        if (m.record.leaving && g.primary != id)
            continue;
        all += running_limit(ctx.pooler, m);
        if (g.primary == id)
            primary = running_limit(ctx.pooler, m);
    }
    g.primary_queue.slots = primary;
    g.read_queue.slots = std::max<std::size_t>(all, 1);
}

}  // namespace

admission::queue_state& queue_of(group& g, const pending_statement& p)
{
    return p.primary_only ? g.primary_queue : g.read_queue;
}

void queue_statement(context& ctx, session_number number)
{
    auto& s = ctx.pooler.sessions.at(number);
    auto& p = *s.current;
    const auto at = ctx.pooler.groups.find(s.active_route.group);
    if (at == ctx.pooler.groups.end() || at->second.members.empty())
        return fail_statement(ctx, number, failure_code::busy,
                              "no member of the group is registered");
    auto& g = at->second;
    update_queue_slots(ctx, g);
    const auto entry = make_queue_entry(ctx, number, s);
    if (admission::enqueue(queue_of(g, p), queue_limits(), entry, ctx.now))
        return fail_statement(
            ctx, number, failure_code::busy,
            "expected queueing time exceeds the limit for the objective");
    p.queued = true;
    dispatch(ctx, g);
}

void requeue_statement(context& ctx, session_number number, const failure& why)
{
    release_slots(ctx, number, false);
    auto& s = ctx.pooler.sessions.at(number);
    auto& p = *s.current;
    p.sent.reset();
    p.connection = 0;
    if (s.disconnected)
        return fail_statement(ctx, number, failure_code::busy,
                              "caller disconnected");
    if (p.attempts >= ctx.pooler.settings.max_attempts || ctx.now >= p.deadline)
        return fail_statement(ctx, number, failure_code::busy,
                              "not retried after " +
                                  std::string(to_string(why.code)) + ": " +
                                  why.text);
    admission::requeue_front(
        queue_of(ctx.pooler.groups.at(s.active_route.group), p),
        make_queue_entry(ctx, number, s));
    p.queued = true;
}

void release_slots(context& ctx, session_number number, bool measured)
{
    auto& s = ctx.pooler.sessions.at(number);
    auto& p = *s.current;
    const auto g = ctx.pooler.groups.find(s.active_route.group);
    if (g == ctx.pooler.groups.end())
        return;
    const auto c = ctx.pooler.connections.find(p.connection);
    if (c != ctx.pooler.connections.end() &&
        c->second.phase == connection_phase::busy)
    {
        const auto m = g->second.members.find(c->second.server);
        if (m != g->second.members.end() && m->second.running > 0)
            --m->second.running;
        c->second.phase = connection_phase::held;
    }
    if (!p.holds_slot)
        return;
    p.holds_slot = false;
    std::optional<core::duration> held;
    if (measured && c != ctx.pooler.connections.end() &&
        c->second.phase_since >= ctx.pooler.stalled_at)
        held = ctx.now - c->second.phase_since;
    admission::release_slot(queue_of(g->second, p), s.active_route.importance,
                            held);
}

void dispatch(context& ctx, group& g)
{
    if (admission::waiting_count(g.primary_queue) +
            admission::waiting_count(g.read_queue) ==
        0)
        return;
    update_queue_slots(ctx, g);
    dispatch_queue(ctx, g, g.primary_queue);
    dispatch_queue(ctx, g, g.read_queue);
}

bool writes_on_revoked_primary(const context& ctx, const caller_session& s)
{
    const bool writes = s.tx.wrote || writes_data(s, s.current->request.stmt);
    const auto c = ctx.pooler.connections.find(s.tx.connection);
    return writes && c != ctx.pooler.connections.end() &&
           is_on_revoked_primary(ctx, c->second);
}

}  // namespace godwitbarrow::pooler::detail
