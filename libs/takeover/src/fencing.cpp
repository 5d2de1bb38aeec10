#include "fencing.hpp"

#include "comparing.hpp"

namespace godwitbarrow::takeover::detail
{
namespace
{

/// Whether the hosts have had time to see the claim. Commits that they had sent
/// before are complete and replicated by then.
bool is_revoked_everywhere(const context& ctx)
{
    return ctx.state.revoked_at &&
           ctx.now - *ctx.state.revoked_at >= ctx.settings.revocation_delay;
}

void query_primary_position(context& ctx)
{
    ctx.state.primary_queried_at = ctx.now;
    ctx.out.push_back(
        ask_member{ctx.state.replaced, std::nullopt, std::nullopt, false});
}

}  // namespace

bool revokes_primary(const context& ctx)
{
    return ctx.settings.revoke_before_promotion ||
           pauses_replication(ctx.state);
}

void revoke(context& ctx)
{
    auto& state = ctx.state;
    ctx.out.push_back(revoke_primary{state.replaced, state.token});
    if (!state.revoked_at)
        state.revoked_at = ctx.now;
}

bool is_primary_lost(const context& ctx)
{
    const auto& state = ctx.state;
    const auto limit =
        state.view.unreachable ? 1U : ctx.settings.max_primary_queries;
    return state.replaced.value.empty() ||
           state.unanswered_primary_queries >= limit;
}

void begin_comparison(context& ctx)
{
    auto& state = ctx.state;
    if (!pauses_replication(state) || state.primary_stepped_down ||
        state.replaced.value.empty())
        return query_members(ctx);
    state.primary_queried_at.reset();
    state.primary_position.reset();
    if (state.view.unreachable)
        state.unanswered_primary_queries = 0;
    enter_phase(ctx, phase::fencing);
    revoke(ctx);
    continue_fencing(ctx);
}

void continue_fencing(context& ctx)
{
    if (!is_revoked_everywhere(ctx))
        return;
    if (is_primary_lost(ctx))
        return query_members(ctx);
    const auto& last = ctx.state.primary_queried_at;
    if (!last || ctx.now - *last >= ctx.settings.answer_timeout)
        query_primary_position(ctx);
}

void handle_primary_position(context& ctx, const member_answered& input)
{
    auto& state = ctx.state;
    if (input.server != state.replaced || !state.primary_queried_at)
        return;
    if (!input.report)
    {
        ++state.unanswered_primary_queries;
        return continue_fencing(ctx);
    }
    state.unanswered_primary_queries = 0;
    if (input.report->role == core::member_role::primary)
        state.primary_position = input.report->received;
    else
        state.primary_stepped_down = true;
    query_members(ctx);
}

}  // namespace godwitbarrow::takeover::detail
