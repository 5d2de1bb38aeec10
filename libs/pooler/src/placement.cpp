#include "placement.hpp"

#include <algorithm>
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

enum class distance
{
    /// Tried once, to find out.
    unknown,
    near,
    /// Statements take longer than on another member of the group.
    far
};

distance distance_of(const member& m, std::optional<core::duration> fastest,
                     const pooler_settings& settings)
{
    if (!m.fastest_open || !fastest)
        return m.failed_opens == 0 ? distance::unknown : distance::far;
    return *m.fastest_open - *fastest > settings.far_margin ? distance::far
                                                            : distance::near;
}

/// Returns the members that may run a read of bounded age, best first: members
/// of the local data centre, other near members, then those with the fewest
/// running statements. The primary comes last, because only it can run writes.
/// Hosts order equal members differently, so that the reads of all hosts spread
/// over them while each host uses few connections.
std::vector<core::server_id> read_candidates(const context& ctx, const group& g,
                                             const pending_statement& p)
{
    using rating = std::tuple<bool, bool, distance, std::size_t, std::uint64_t,
                              core::server_id>;
    std::vector<rating> rated;
    const auto fastest = fastest_open(g);
    for (const auto& [id, m] : g.members)
    {
        if (is_skipped(m, p, ctx.pooler.settings, ctx.now))
            continue;
        const bool remote =
            m.record.data_centre != ctx.pooler.settings.data_centre;
        const auto away = distance_of(m, fastest, ctx.pooler.settings);
        rated.emplace_back(g.primary == id, remote, away, m.running,
                           m.preference, id);
    }
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

/// Selects an idle connection for the statement. If the best available member
/// has none, a connection to it is opened for later statements.
std::optional<assignment> find_assignment(context& ctx, group& g,
                                          const caller_session& s)
{
    bool opened = false;
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
        if (!opened)
            open_within_limits(ctx, g, m);
        opened = true;
    }
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

void dispatch_queue(context& ctx, group& g, admission::queue_state& queue)
{
    const auto limits = queue_limits();
    while (admission::waiting_count(queue) > 0)
    {
        std::optional<assignment> chosen;
        // Entries of one session key and policy differ in the members that may
        // run them, so a later entry can be ready when the first is not.
        const auto ready = [&](const admission::queue_entry& entry)
        {
            const auto& s = ctx.pooler.sessions.at(session_of(entry));
            chosen = find_assignment(ctx, g, s);
            return chosen.has_value();
        };
        const auto next = admission::dequeue_next(queue, limits, ready);
        if (!next)
            return;
        const auto number = session_of(*next);
        // The last entry that `ready` examined need not be the one taken.
        chosen = find_assignment(ctx, g, ctx.pooler.sessions.at(number));
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
