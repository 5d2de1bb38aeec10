#include "expiry.hpp"

#include <string>
#include <utility>
#include <vector>

#include "answers.hpp"
#include "connections.hpp"
#include "placement.hpp"
#include "primary_evidence.hpp"
#include "quotas.hpp"
#include "sending.hpp"
#include "sessions.hpp"
#include "shutdown.hpp"

namespace godwitbarrow::pooler::detail
{
namespace
{

void expire_waiting(context& ctx, admission::queue_state& queue)
{
    for (const auto& it : admission::take_expired(queue, ctx.now))
    {
        const auto number = std::stoull(it.id.value);
        ctx.pooler.sessions.at(number).current->queued = false;
        fail_statement(
            ctx, number, failure_code::busy,
            "queueing time limit exceeded while waiting for a member");
    }
}

/// Whether the answer of the member to the statement is overdue.
bool is_overdue(const context& ctx, const pending_statement& p)
{
    if (p.connection == 0 || p.queued || p.retry_on_held)
        return false;
    if (ctx.now >= p.deadline)
        return true;
    const auto c = ctx.pooler.connections.find(p.connection);
    return !p.sent && c != ctx.pooler.connections.end() &&
           ctx.now - c->second.sent >= ctx.pooler.settings.begin_timeout;
}

/// Keeps the evidence fresh under which the answer of a primary is believed.
void refresh_running(context& ctx, const caller_session& s)
{
    if (s.tx.phase == transaction_phase::open)
        return refresh_evidence(ctx, s);
    const auto c = ctx.pooler.connections.find(s.current->connection);
    if (!s.current->primary_only || c == ctx.pooler.connections.end())
        return;
    const auto g = ctx.pooler.groups.find(c->second.group);
    if (g != ctx.pooler.groups.end())
        refresh_evidence(ctx, g->second, c->second.server);
}

void expire_running(context& ctx)
{
    const std::vector<session_number> active(ctx.pooler.active_sessions.begin(),
                                             ctx.pooler.active_sessions.end());
    for (const auto number : active)
    {
        const auto it = ctx.pooler.sessions.find(number);
        if (it == ctx.pooler.sessions.end() || !it->second.current)
            continue;
        auto& p = *it->second.current;
        refresh_running(ctx, it->second);
        if (p.queued && ctx.now >= p.deadline)
            fail_queued(ctx, number, "the host is shutting down");
        else if (p.retry_on_held && ctx.now >= p.deadline)
            fail_statement(ctx, number, failure_code::aborted,
                           "the member was busy until the statement timed out");
        else if (p.retry_on_held && writes_on_revoked_primary(ctx, it->second))
            fail_statement(ctx, number, failure_code::aborted,
                           "the primary is being replaced");
        else if (p.retry_on_held && awaits_evidence(ctx, it->second))
            continue;
        else if (p.retry_on_held)
            send_on_held(ctx, number);
        else if (is_overdue(ctx, p))
            handle_timeout(ctx, number);
    }
}

/// A connection of a workspace can be replaced by one of another workspace at
/// any time, and most workspaces are back after more than the usual limit.
constexpr std::chrono::milliseconds workspace_idle_limit{15000};

std::chrono::milliseconds idle_limit_of(const context& ctx,
                                        const backend_connection& c)
{
    const auto& usual = ctx.pooler.settings.idle_limit;
    return c.workspace.value.empty() || is_surplus(ctx, c)
               ? usual
               : workspace_idle_limit;
}

void expire_connections(context& ctx)
{
    std::vector<connection_number> due;
    const auto& settings = ctx.pooler.settings;
    for (const auto& [number, c] : ctx.pooler.connections)
    {
        const auto age = ctx.now - c.phase_since;
        if ((c.phase == connection_phase::opening &&
             age >= settings.open_timeout) ||
            (c.phase == connection_phase::cleaning &&
             age >= settings.open_timeout) ||
            (c.phase == connection_phase::idle && age >= idle_limit_of(ctx, c)))
            due.push_back(number);
    }
    for (const auto number : due)
    {
        ctx.out.push_back(close_connection{number});
        handle_connection_lost(ctx, {number, std::nullopt, "timed out"});
    }
}

/// Whether the open transaction holds its connection without using it for too
/// long.
bool is_idle_too_long(const context& ctx, const caller_session& s)
{
    const auto& limit = ctx.pooler.active_configuration.transaction_idle;
    return s.tx.phase == transaction_phase::open && limit.count() > 0 &&
           ctx.now - s.idle_since >= limit;
}

/// Returns why the transaction has to end, or an empty text if it goes on or a
/// statement of it is running.
std::string expiry_reason(const context& ctx, const caller_session& s)
{
    const bool ongoing = s.tx.phase == transaction_phase::open ||
                         s.tx.phase == transaction_phase::deferred;
    if (!ongoing || s.current)
        return {};
    if (is_idle_too_long(ctx, s))
        return "transaction idle limit exceeded";
    return ends_transactions(ctx, s) ? "this host is shutting down" : "";
}

void expire_transaction(context& ctx, caller_session& s, std::string reason)
{
    if (s.tx.phase == transaction_phase::open)
        roll_back(ctx, s.tx.connection);
    s.tx.connection = 0;
    s.tx.phase = transaction_phase::failed;
    s.tx.unreported_reason = std::move(reason);
}

/// Whether the session is to be served by an owner of its group from now on.
bool belongs_elsewhere(const context& ctx, const caller_session& s)
{
    const auto g = ctx.pooler.groups.find(s.active_route.group);
    if (g == ctx.pooler.groups.end() || !g->second.share)
        return false;
    const auto& share = *g->second.share;
    return !share.owned && share.relayed;
}

std::chrono::milliseconds shutdown_idle_of(const context& ctx,
                                           const caller_session& s)
{
    const auto& settings = ctx.pooler.settings;
    return s.relayed ? settings.relayed_shutdown_idle : settings.shutdown_idle;
}

void expire_sessions(context& ctx)
{
    std::vector<session_number> close;
    for (auto& [number, s] : ctx.pooler.sessions)
    {
        if (auto reason = expiry_reason(ctx, s); !reason.empty())
            expire_transaction(ctx, s, std::move(reason));
        const bool idle = !s.current && s.tx.phase == transaction_phase::none;
        const auto idle_for = ctx.now - s.idle_since;
        const bool ends =
            (shutdown_start(ctx, s) && idle_for >= shutdown_idle_of(ctx, s)) ||
            (belongs_elsewhere(ctx, s) &&
             idle_for >= ctx.pooler.settings.shutdown_idle);
        if (idle && ends)
            close.push_back(number);
    }
    for (const auto number : close)
        close_session(ctx, number);
}

}  // namespace

void expire(context& ctx)
{
    for (auto& [id, g] : ctx.pooler.groups)
    {
        expire_waiting(ctx, g.primary_queue);
        expire_waiting(ctx, g.read_queue);
    }
    expire_borrowing(ctx);
    expire_running(ctx);
    expire_connections(ctx);
    expire_sessions(ctx);
    for (auto& [id, g] : ctx.pooler.groups)
        dispatch(ctx, g);
}

void begin_shutdown(context& ctx)
{
    if (!ctx.pooler.shutdown_since)
        ctx.pooler.shutdown_since = ctx.now;
    for (const auto number : ctx.pooler.active_sessions)
        limit_to_shutdown(ctx, ctx.pooler.sessions.at(number));
    expire_sessions(ctx);
}

void drain_sessions(context& ctx, const relayed_sessions_draining& what)
{
    for (const auto number : what.sessions)
    {
        const auto it = ctx.pooler.sessions.find(number);
        if (it == ctx.pooler.sessions.end())
            continue;
        it->second.draining_since = what.since;
        ctx.pooler.draining_sessions.insert(number);
        if (it->second.current)
            limit_to_shutdown(ctx, it->second);
    }
}

}  // namespace godwitbarrow::pooler::detail
