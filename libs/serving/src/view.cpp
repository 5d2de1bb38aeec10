#include <algorithm>
#include <utility>

#include "godwitbarrow/session/freshness.hpp"
#include "internal.hpp"

namespace godwitbarrow::serving::detail
{
namespace
{

/// Raises the time as of which each member is known to be fresh.
void prove_freshness(group_state& state)
{
    const auto term = state.view.term;
    const auto raise =
        [&](member_state& member, const std::optional<core::time_point>& proven)
    {
        if (proven)
            member.fresh_as_of = std::max(member.fresh_as_of, proven);
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

/// A replica that has caught up while nothing waits shows that old delays no
/// longer hold; without this, refused writes would never be tried again.
void relax_confirmation_delay(context& ctx, const core::member_status& status)
{
    const auto& samples = ctx.state.history.samples;
    if (!ctx.state.confirming.empty() || samples.empty())
        return;
    const auto& newest = samples.back().at;
    if (status.log_term == newest.term && status.position >= newest.position)
        ctx.state.confirmation_delay /= 2;
}

void record(context& ctx, const status_received& it, member_state& member)
{
    auto& state = ctx.state;
    const bool primary = is_primary(state, it.server);
    member.known = true;
    member.reachable = true;
    if (member.status && it.requested_at < member.requested_at)
        return;
    member.status = it.status;
    member.requested_at = it.requested_at;
    if (it.status.term > state.view.term)
        ctx.out.emplace_back(refresh_view{it.status.term});
    const bool current = it.status.term == state.view.term &&
                         it.status.log_term == state.view.term;
    if (primary && current && it.status.role == core::member_role::primary)
        session::add_sample(
            state.history,
            {it.requested_at, {it.status.term, it.status.position}});
    else if (!primary)
        relax_confirmation_delay(ctx, it.status);
}

void lose_old_transactions(context& ctx)
{
    std::vector<core::transaction_id> old;
    for (const auto& [id, it] : ctx.state.transactions)
        if (it.term < ctx.state.view.term)
            old.push_back(id);
    for (const auto& id : old)
        lose_transaction(ctx, id, "the primary was replaced");
}

/// Repeatable writes do not wait for a primary that was replaced. Others do:
/// it may still say that they did not run.
void resend_running_writes(context& ctx)
{
    std::vector<core::request_id> ids;
    for (const auto& [dispatch, id] : ctx.state.dispatches)
    {
        const auto& it = ctx.state.requests.at(id);
        if (it.sent_term < ctx.state.view.term &&
            it.request.access == core::access_mode::write &&
            core::is_repeatable(it.request))
            ids.push_back(id);
    }
    for (const auto& id : ids)
    {
        auto& it = ctx.state.requests.at(id);
        end_dispatch(ctx, it, std::nullopt);
        drop_connection(ctx, it.server, it.connection);
        it.possibly_ran = true;
        consider(ctx, id);
    }
}

void begin_term(context& ctx, const view_changed& it)
{
    auto& state = ctx.state;
    state.view = {it.term, it.primary};
    for (auto& [server, member] : state.members)
        member.fresh_as_of.reset();
    for (const auto& id : state.held)
        state.requests.at(id).blocked_until.reset();
    end_old_confirmations(ctx);
    lose_old_transactions(ctx);
    resend_running_writes(ctx);
}

/// Moves requests that wait for a slot and can no longer be served here.
void reconsider_all(context& ctx)
{
    reconsider_waiting(ctx);
    reconsider_held(ctx);
}

}  // namespace

void note_position(context& ctx, const core::server_id& server,
                   core::log_position at)
{
    const auto found = ctx.state.members.find(server);
    if (found == ctx.state.members.end() || !found->second.status)
        return;
    auto& status = *found->second.status;
    if (status.log_term == at.term)
        status.position = std::max(status.position, at.position);
}

void on_status(context& ctx, const status_received& it)
{
    const auto found = ctx.state.members.find(it.server);
    if (found == ctx.state.members.end())
        return;
    record(ctx, it, found->second);
    prove_freshness(ctx.state);
    confirm(ctx);
    reconsider_held(ctx);
}

void on_status_missed(context& ctx, const status_missed& it)
{
    const auto found = ctx.state.members.find(it.server);
    if (found == ctx.state.members.end())
        return;
    found->second.known = true;
    found->second.reachable = false;
    reconsider_all(ctx);
}

void on_view(context& ctx, const view_changed& it)
{
    auto& view = ctx.state.view;
    if (it.term < view.term)
        return;
    if (it.term > view.term)
        begin_term(ctx, it);
    else if (!view.primary && it.primary)
        view.primary = it.primary;
    else
        return;
    reconsider_all(ctx);
}

void on_leaving(context& ctx, const server_leaving& it)
{
    const auto found = ctx.state.members.find(it.server);
    if (found == ctx.state.members.end())
        return;
    found->second.leaving = it.leaving;
    reconsider_all(ctx);
}

void on_ownership(context& ctx, const ownership_changed& it)
{
    auto& state = ctx.state;
    for (auto& [server, of_server] : state.servers)
        of_server.owned = false;
    for (const auto& server : it.owned)
        state.servers[server].owned = true;
    for (const auto& limits : state.settings.servers)
    {
        const auto found = state.servers.find(limits.server);
        if (found == state.servers.end())
            continue;
        found->second.queue.slots = limits.slots;
        found->second.pool.connection_limit = limits.connections;
    }
    reconsider_all(ctx);
}

}  // namespace godwitbarrow::serving::detail
