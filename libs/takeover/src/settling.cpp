#include "settling.hpp"

#include "claiming.hpp"
#include "promoting.hpp"
#include "restoring.hpp"
#include "resuming.hpp"

namespace godwitbarrow::takeover::detail
{
namespace
{

/// Whether an order under the last claim of this host was accepted for this
/// primary, and the row shows that no other claim was made since.
bool is_settled_for(const context& ctx, const rows_read& rows,
                    const core::server_id& primary)
{
    const auto& state = ctx.state;
    return state.order_accepted && state.ordered == primary &&
           rows.last_claim && is_own_claim(ctx, *rows.last_claim);
}

bool are_fresh(const context& ctx)
{
    return ctx.now - ctx.state.phase_entered_at < ctx.settings.rows_limit;
}

/// Whether another host has claimed since, so that the pauses are its matter
/// until it must have failed.
bool belongs_to_other(const context& ctx, const rows_read& rows)
{
    const auto& state = ctx.state;
    const auto last = rows.last_claim.value_or(claim{});
    const bool adopted = state.unfinished && state.unfinished->adopted &&
                         state.unfinished->row.token >= last.token;
    return last.token > state.token && !adopted;
}

void leave_to_other(context& ctx)
{
    ctx.state.paused.clear();
    pause_for(ctx, ctx.settings.retry_delay);
}

/// Where the platform checks no tokens, an unanswered order can only be
/// awaited.
bool awaits_late_order(const context& ctx)
{
    const auto& settings = ctx.settings;
    if (settings.checks_tokens)
        return false;
    const auto& own = ctx.state.unanswered_order_at;
    if (own && ctx.now - *own < settings.late_order_limit)
        return true;
    // Another holder may have ordered until its claim ended.
    const auto& claim = ctx.state.unfinished;
    return claim && claim->row.holder != settings.self &&
           claim->row.settled.value.empty() &&
           ctx.now - claim->made_at <
               settings.claim_ttl + settings.late_order_limit;
}

}  // namespace

bool are_orders_void(const context& ctx)
{
    const auto& state = ctx.state;
    return state.order_accepted ||
           (state.earlier_orders_void && state.ordered.value.empty());
}

bool is_settled(const rows_read& rows)
{
    const auto& last = rows.last_claim;
    return last && last->era == rows.era && !last->settled.value.empty();
}

bool may_name(const context& ctx, const core::server_id& server)
{
    const auto& state = ctx.state;
    return state.ordered.value.empty() ||
           (state.ordered == server && !state.order_accepted);
}

void keep_primary(context& ctx, const core::server_id& primary)
{
    if (awaits_late_order(ctx))
        return pause_for(ctx, ctx.settings.promotion_settle_time);
    // It leads on, so it is not asked to step down any more.
    ctx.state.step_down_requested_at.reset();
    adopt_pauses(ctx);
    ctx.state.kept = primary;
    start_reading_rows(ctx);
}

void keep_under_claim(context& ctx, const core::server_id& primary)
{
    if (!may_name(ctx, primary))
    {
        ctx.state.claim_spent = true;
        return pause_for(ctx, ctx.settings.retry_delay);
    }
    ctx.state.step_down_requested_at.reset();
    ctx.state.kept = primary;
    begin_keeping(ctx);
}

void handle_rows_for_kept(context& ctx, const rows_read& rows)
{
    const auto primary = *ctx.state.kept;
    if (belongs_to_other(ctx, rows))
        return leave_to_other(ctx);
    if (!are_fresh(ctx) || is_claimed_by_other(ctx, rows))
        return pause_for(ctx, ctx.settings.retry_delay);
    if (is_settled_for(ctx, rows, primary))
        return end_pauses(ctx, primary, rows.version);
    if (awaits_lost_claims(ctx))
        return pause_for(ctx, ctx.settings.retry_delay);
    write_next_claim(ctx, rows, {});
}

void begin_keeping(context& ctx)
{
    enter_phase(ctx, phase::keeping);
}

void continue_keeping(context& ctx)
{
    const auto waited = ctx.now - ctx.state.phase_entered_at;
    if (waited < ctx.settings.revocation_delay)
        return;
    ctx.state.target = *ctx.state.kept;
    report_step(ctx, "primary to be kept", ctx.state.target,
                "token " + std::to_string(ctx.state.token));
    send_promotion(ctx);
}

void settle(context& ctx)
{
    auto& state = ctx.state;
    state.order_accepted = true;
    if (!state.own_claim.replicas_paused)
        return;
    state.own_claim.settled = state.target;
    announce_use(ctx, state.own_claim);
    ctx.out.push_back(settle_claim{state.own_claim, state.own_claim_version});
}

void announce_use(context& ctx, const claim& row)
{
    if (!row.settled.value.empty())
        ctx.out.push_back(use_primary{row.token, row.settled});
    else
        ctx.out.push_back(
            use_primary{row.token, std::nullopt, !row.replicas_paused});
}

}  // namespace godwitbarrow::takeover::detail
