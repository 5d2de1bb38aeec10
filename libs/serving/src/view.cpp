#include <algorithm>
#include <utility>

#include "godwitbarrow/session/freshness.hpp"
#include "internal.hpp"

namespace godwitbarrow::serving::detail
{
namespace
{

/// Advances the time up to which the data of each member is known to be fresh.
void update_freshness(group_state& state)
{
    const auto term = state.view.term;
    const auto raise = [&](member_state& member,
                           const std::optional<core::time_point>& fresh_time)
    {
        if (fresh_time)
            member.fresh_as_of = std::max(member.fresh_as_of, fresh_time);
    };
    for (auto& [server, member] : state.members)
    {
        if (!member.status || is_primary(state, server))
            continue;
        raise(member,
              session::replica_fresh_as_of(state.history, *member.status,
                                           member.requested_at, term));
        if (state.view.primary && state.members.count(*state.view.primary) != 0)
            raise(state.members.at(*state.view.primary),
                  session::primary_fresh_as_of(state.history, *member.status,
                                               member.requested_at, term));
    }
}

/// If a replica has caught up while no write waits for confirmation, earlier
/// delays no longer apply. Without this, refused writes would never be
/// tried again.
void decay_confirmation_delay(context& ctx, const core::member_status& status)
{
    const auto& samples = ctx.state.history.samples;
    if (!ctx.state.confirming.empty() || samples.empty())
        return;
    const auto& newest = samples.back().at;
    if (status.log_term == newest.term && status.position >= newest.position)
        ctx.state.confirmation_delay /= 2;
}

void record_status(context& ctx, const status_received& event,
                   member_state& member)
{
    auto& state = ctx.state;
    const bool primary = is_primary(state, event.server);
    member.polled = true;
    member.reachable = true;
    if (member.status && event.requested_at < member.requested_at)
        return;
    member.status = event.status;
    member.requested_at = event.requested_at;
    if (event.status.term > state.view.term)
        ctx.out.emplace_back(refresh_view{event.status.term});
    const bool current = event.status.term == state.view.term &&
                         event.status.log_term == state.view.term;
    if (primary && current && event.status.role == core::member_role::primary)
        session::add_sample(
            state.history,
            {event.requested_at, {event.status.term, event.status.position}});
    else if (!primary)
        decay_confirmation_delay(ctx, event.status);
}

void abort_old_transactions(context& ctx)
{
    std::vector<core::transaction_id> old;
    for (const auto& [id, transaction] : ctx.state.transactions)
        if (transaction.term < ctx.state.view.term)
            old.push_back(id);
    for (const auto& id : old)
        abort_transaction(ctx, id, "the primary was replaced");
}

/// Repeatable writes do not wait for the reply of a replaced primary. Other
/// writes do, because that primary may still report that they did not run.
void resend_running_writes(context& ctx)
{
    std::vector<core::request_id> ids;
    for (const auto& [dispatch, id] : ctx.state.dispatches)
    {
        const auto& tracked = ctx.state.requests.at(id);
        if (tracked.sent_term < ctx.state.view.term &&
            tracked.request.access == core::access_mode::write &&
            core::is_repeatable(tracked.request))
            ids.push_back(id);
    }
    for (const auto& id : ids)
    {
        auto& tracked = ctx.state.requests.at(id);
        end_dispatch(ctx, tracked, std::nullopt);
        drop_connection(ctx, tracked.server, tracked.connection);
        tracked.possibly_ran = true;
        schedule_request(ctx, id);
    }
}

void start_term(context& ctx, const view_changed& event)
{
    auto& state = ctx.state;
    state.view = {event.term, event.primary};
    for (auto& [server, member] : state.members)
        member.fresh_as_of.reset();
    for (const auto& id : state.held)
        state.requests.at(id).blocked_until.reset();
    end_old_confirmations(ctx);
    abort_old_transactions(ctx);
    resend_running_writes(ctx);
}

/// Checks all waiting requests again and reschedules those that can no longer
/// be served here.
void recheck_all(context& ctx)
{
    recheck_waiting(ctx);
    reschedule_held(ctx);
}

}  // namespace

void update_position(context& ctx, const core::server_id& server,
                     core::log_position at)
{
    const auto found = ctx.state.members.find(server);
    if (found == ctx.state.members.end() || !found->second.status)
        return;
    auto& status = *found->second.status;
    if (status.log_term == at.term)
        status.position = std::max(status.position, at.position);
}

void on_status(context& ctx, const status_received& event)
{
    const auto found = ctx.state.members.find(event.server);
    if (found == ctx.state.members.end())
        return;
    record_status(ctx, event, found->second);
    update_freshness(ctx.state);
    complete_confirmed_writes(ctx);
    reschedule_held(ctx);
}

void on_status_missed(context& ctx, const status_missed& event)
{
    const auto found = ctx.state.members.find(event.server);
    if (found == ctx.state.members.end())
        return;
    found->second.polled = true;
    found->second.reachable = false;
    recheck_all(ctx);
}

void on_view(context& ctx, const view_changed& event)
{
    auto& view = ctx.state.view;
    if (event.term < view.term)
        return;
    if (event.term > view.term)
        start_term(ctx, event);
    else if (!view.primary && event.primary)
        view.primary = event.primary;
    else
        return;
    recheck_all(ctx);
}

void on_leaving(context& ctx, const server_leaving& event)
{
    const auto found = ctx.state.members.find(event.server);
    if (found == ctx.state.members.end())
        return;
    found->second.leaving = event.leaving;
    recheck_all(ctx);
}

void on_ownership(context& ctx, const ownership_changed& event)
{
    auto& state = ctx.state;
    for (auto& [server, backend] : state.servers)
        backend.owned = false;
    for (const auto& server : event.owned)
        state.servers[server].owned = true;
    for (const auto& limits : state.settings.servers)
    {
        const auto found = state.servers.find(limits.server);
        if (found == state.servers.end())
            continue;
        found->second.queue.slots = limits.slots;
        found->second.pool.connection_limit = limits.connections;
    }
    recheck_all(ctx);
}

}  // namespace godwitbarrow::serving::detail
