#include "promoting.hpp"

#include "fencing.hpp"
#include "restoring.hpp"
#include "resuming.hpp"
#include "settling.hpp"

namespace godwitbarrow::takeover::detail
{
namespace
{

/// Whether an order that is sent now is answered, or has timed out, before
/// another host may claim the takeover with a higher token. The platform may
/// not reject a lower token that arrives after a higher one.
bool may_order(const context& ctx)
{
    return ctx.now - ctx.state.claimed_at + ctx.settings.promotion_timeout <
           ctx.settings.claim_ttl;
}

void request_step_down(context& ctx)
{
    auto& state = ctx.state;
    state.step_down_requested_at = ctx.now;
    state.step_down_term = next_term(state);
    ctx.out.push_back(
        ask_member{state.replaced, std::nullopt, state.step_down_term, false});
}

/// Whether the old primary has commits that the target lacks. They may have
/// been acknowledged by a replica that is not registered.
bool lacks_commits(const takeover_state& state)
{
    return pauses_replication(state) && state.primary_position &&
           state.reports.at(state.target).received < *state.primary_position;
}

/// Starts the comparison anew. The replicas receive again meanwhile, so that
/// they can catch up; while an order may still take effect, they do so only
/// once the primary is kept.
void compare_again(context& ctx)
{
    report_step(ctx, "replicas behind primary", ctx.state.replaced,
                "primary has " + to_string(*ctx.state.primary_position));
    if (ctx.state.primary_stepped_down)
        return pause_for(ctx, ctx.settings.retry_delay);
    if (!are_orders_void(ctx))
        return keep_under_claim(ctx, ctx.state.replaced);
    resume_replicas(ctx, ctx.state.replaced);
    pause_for(ctx, ctx.settings.retry_delay);
}

/// Gives up a claim whose unanswered order names another member.
void spend_claim(context& ctx)
{
    report_step(ctx, "claim spent", ctx.state.ordered,
                "token " + std::to_string(ctx.state.token) +
                    " names it, to be promoted is " + ctx.state.target.value);
    ctx.state.claim_spent = true;
    pause_for(ctx, ctx.settings.retry_delay);
}

/// Promotes the target unless the old primary has got ahead of it.
void send_promotion_if_complete(context& ctx)
{
    if (lacks_commits(ctx.state))
        return compare_again(ctx);
    send_promotion(ctx);
}

/// How long the promotion waits for hosts to stop using the old primary.
std::chrono::milliseconds announcement_delay(const context& ctx)
{
    const auto& settings = ctx.settings;
    return settings.revoke_before_promotion && !ctx.state.view.unreachable
               ? settings.unconfirmed_delay
               : settings.revocation_delay;
}

}  // namespace

void send_promotion(context& ctx)
{
    if (!is_claim_current(ctx) || !may_order(ctx))
        return pause_for(ctx, ctx.settings.retry_delay);
    enter_phase(ctx, phase::promoting);
    ++ctx.state.promotion_attempts;
    ctx.state.unanswered_order_at = ctx.now;
    ctx.state.ordered = ctx.state.target;
    ctx.out.push_back(order_promotion{ctx.state.target, ctx.state.token});
}

void replace_primary(context& ctx)
{
    auto& state = ctx.state;
    if (lacks_commits(state))
        return compare_again(ctx);
    if (!may_name(ctx, state.target))
        return spend_claim(ctx);
    report_step(ctx, "promotion ordered", state.target,
                "received " +
                    to_string(state.reports.at(state.target).received) +
                    " token " + std::to_string(state.token));
    if (!revokes_primary(ctx) || state.primary_stepped_down ||
        state.replaced.value.empty())
        return send_promotion(ctx);
    revoke(ctx);
    request_step_down(ctx);
    if (pauses_replication(state) && is_primary_lost(ctx))
        return send_promotion(ctx);
    state.primary_position.reset();
    enter_phase(ctx, phase::revoking);
}

void handle_step_down(context& ctx, const member_answered& input)
{
    auto& state = ctx.state;
    if (!state.step_down_requested_at || input.server != state.replaced ||
        !input.report)
        return;
    if (input.report->role == core::member_role::primary)
    {
        state.primary_position = input.report->received;
        if (input.report->newest_term >= state.step_down_term)
            request_step_down(ctx);
        return;
    }
    state.step_down_requested_at.reset();
    report_step(ctx, "primary stepped down", input.server);
    if (state.current_phase != phase::revoking)
        return;
    state.primary_stepped_down = true;
    state.primary_position = input.report->received;
    send_promotion_if_complete(ctx);
}

void repeat_step_down(context& ctx)
{
    const auto& last = ctx.state.step_down_requested_at;
    if (last && ctx.now - *last >= ctx.settings.step_down_interval)
        request_step_down(ctx);
}

void promote_if_revoked(context& ctx)
{
    const auto waited = ctx.now - ctx.state.phase_entered_at;
    if (waited < announcement_delay(ctx))
        return;
    if (!pauses_replication(ctx.state) || is_primary_lost(ctx))
        return send_promotion(ctx);
    if (ctx.state.primary_position)
        return send_promotion_if_complete(ctx);
    if (waited < ctx.settings.answer_timeout)
        return;
    ++ctx.state.unanswered_primary_queries;
    pause_for(ctx, ctx.settings.retry_delay);
}

namespace
{

void handle_accepted(context& ctx)
{
    auto& state = ctx.state;
    state.unanswered_order_at.reset();
    const bool keeps = state.kept.has_value();
    report_step(ctx, keeps ? "primary kept" : "promotion accepted",
                state.target);
    state.primary_stepped_down = false;
    settle(ctx);
    ctx.out.push_back(primary_known{state.target, true});
    // A promotion takes some time, and its target may have been the primary.
    pause_for(ctx, keeps ? ctx.settings.retry_delay
                         : ctx.settings.promotion_settle_time);
}

}  // namespace

void handle_promotion_answer(context& ctx, const promotion_answered& input)
{
    auto& state = ctx.state;
    if (state.current_phase != phase::promoting)
        return;
    if (input.result == order_result::accepted)
        return handle_accepted(ctx);
    // Of several orders only the last one was answered.
    const bool refused = input.result == order_result::refused;
    if (refused && state.promotion_attempts == 1)
    {
        state.unanswered_order_at.reset();
        state.ordered = {};
    }
    if (input.result == order_result::unknown &&
        state.promotion_attempts < ctx.settings.max_promotion_attempts)
        return send_promotion(ctx);
    // Refused: the member is not running, or another host holds a newer claim.
    // The claim row shows which.
    report_step(ctx, refused ? "promotion refused" : "promotion not answered",
                state.target);
    state.refused_targets.insert(state.target);
    pause_for(ctx, ctx.settings.retry_delay);
}

}  // namespace godwitbarrow::takeover::detail
