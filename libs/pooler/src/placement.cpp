#include "placement.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "connections.hpp"
#include "member_choice.hpp"
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

/// A statement that finds no idle connection of its workspace.
struct unmet_request
{
    core::workspace_id workspace;
    /// Members that may run the statement, best first.
    std::vector<core::server_id> servers;
};

/// What the statements of a queue lack that cannot start.
struct unmet_needs
{
    /// Statements that waited when the search began.
    std::size_t waiting = 0;
    std::vector<unmet_request> of_workspaces;
    /// Callers without a workspace share their connections, so one is opened to
    /// each member that is the best for one of them.
    std::vector<core::server_id> shared;
    /// Primaries that have to be confirmed.
    std::vector<core::server_id> unconfirmed;
};

void add_once(std::vector<core::server_id>& to, const core::server_id& id)
{
    if (std::find(to.begin(), to.end(), id) == to.end())
        to.push_back(id);
}

void note_needs(unmet_needs& to, const caller_session& s,
                assignment_search search)
{
    if (search.primary)
        add_once(to.unconfirmed, *search.primary);
    if (search.unconnected.empty())
        return;
    // Also if a worse member runs this statement.
    if (s.workspace.value.empty())
        return add_once(to.shared, search.unconnected.front());
    if (search.found)
        return;
    to.of_workspaces.push_back({s.workspace, std::move(search.unconnected)});
}

/// Opens a connection to the best member that allows one. One that is being
/// opened for the workspace and not in `expected` is awaited instead.
void open_for(context& ctx, group& g, const unmet_request& request,
              std::size_t wanted, std::set<connection_number>& expected)
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
        if (open_within_limits(ctx, g, g.members.at(id), request.workspace,
                               wanted))
        {
            expected.insert(ctx.pooler.last_connection);
            return;
        }
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

/// Asks for what statements lack that could not start, in the order of the
/// queue.
void meet_needs(context& ctx, group& g, const unmet_needs& needs)
{
    for (const auto& id : needs.unconfirmed)
        refresh_evidence(ctx, g, id);
    for (const auto& id : needs.shared)
        open_within_limits(ctx, g, g.members.at(id), {}, needs.waiting);
    std::set<connection_number> expected;
    for (const auto& request : needs.of_workspaces)
        open_for(ctx, g, request, needs.waiting, expected);
}

/// Gives the slot of an entry back that was taken from the queue but cannot
/// start.
void return_entry(context& ctx, const group& g, admission::queue_state& queue,
                  const admission::queue_entry& entry)
{
    admission::release_slot(queue, entry.importance, std::nullopt);
    admission::requeue_front(queue, entry);
    decision_note n;
    n.message = "statement returned to its queue";
    n.server = g.primary.value_or(core::server_id{});
    n.detail = "the connection chosen for it is not available";
    ctx.out.push_back(std::move(n));
}

/// Starts the statements of the queue that can start; returns what the others
/// lack.
unmet_needs start_ready(context& ctx, group& g, admission::queue_state& queue)
{
    const auto limits = queue_limits();
    unmet_needs needs;
    needs.waiting = admission::waiting_count(g.primary_queue) +
                    admission::waiting_count(g.read_queue);
    // Entries of one rank differ in the members that may run them, so a later
    // entry can be ready when the first is not.
    const auto ready = [&](const admission::queue_entry& entry)
    {
        const auto& s = ctx.pooler.sessions.at(session_of(entry));
        auto search = find_assignment(ctx, g, s);
        const bool found = search.found.has_value();
        note_needs(needs, s, std::move(search));
        return found;
    };
    while (admission::waiting_count(queue) > 0)
    {
        needs.of_workspaces.clear();
        const auto next = admission::dequeue_next(queue, limits, ready);
        if (!next)
            break;
        const auto number = session_of(*next);
        const auto chosen =
            find_assignment(ctx, g, ctx.pooler.sessions.at(number)).found;
        if (!chosen)
        {
            return_entry(ctx, g, queue, *next);
            break;
        }
        start_statement(ctx, g, number, *chosen);
    }
    return needs;
}

/// Connections are opened only once no statement can start, so that none loses
/// its connection to one that is opened for another.
void dispatch_queue(context& ctx, group& g, admission::queue_state& queue)
{
    meet_needs(ctx, g, start_ready(ctx, g, queue));
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
