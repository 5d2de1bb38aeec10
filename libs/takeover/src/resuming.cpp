#include "resuming.hpp"

#include <functional>

namespace godwitbarrow::takeover::detail
{
namespace
{

/// Whether this host made the claim, in this life of its process, or has
/// adopted it.
bool is_own(const context& ctx, const pausing_claim& claim)
{
    return claim.adopted || (claim.row.holder == ctx.settings.self &&
                             claim.row.token == ctx.state.token);
}

/// Part of `resume_spread`, different for each host and claim.
std::chrono::milliseconds spread_of(const takeover_settings& settings,
                                    const claim& row)
{
    constexpr std::size_t steps = 1000;
    const auto key = settings.self.value + std::to_string(row.token);
    const auto step = std::hash<std::string>{}(key) % steps;
    return settings.resume_spread * static_cast<int>(step) /
           static_cast<int>(steps);
}

/// Age from which on the holder of the claim must have failed. While the old
/// primary leads, a late order of the holder may still replace it.
std::chrono::milliseconds holder_limit(const context& ctx, const claim& row)
{
    const auto& settings = ctx.settings;
    const auto order = ctx.state.view.primary == row.replaced
                           ? settings.late_order_limit
                           : settings.promotion_settle_time;
    return settings.claim_ttl + order + spread_of(settings, row);
}

bool has_failed_holder(const context& ctx, const pausing_claim& claim)
{
    return ctx.now - claim.made_at >= holder_limit(ctx, claim.row);
}

/// Makes the end of all pauses of the group a matter of this host.
void adopt(takeover_state& state, pausing_claim& claim)
{
    const auto& view = state.view;
    state.paused.insert(view.candidates.begin(), view.candidates.end());
    state.paused.insert(view.leaving_members.begin(),
                        view.leaving_members.end());
    claim.adopted = true;
}

/// Drops the pauses of members that cannot be resumed, or need not be.
void drop_unregistered(takeover_state& state, const core::server_id& primary)
{
    state.paused.erase(primary);
    for (auto it = state.paused.begin(); it != state.paused.end();)
        it = is_registered(state, *it) ? std::next(it) : state.paused.erase(it);
}

}  // namespace

void note_pauses(context& ctx, const claim_observed& input)
{
    auto& known = ctx.state.unfinished;
    if (known && known->row.token > input.row.token)
    {
        // The store was restored and has lost the claim, not its pauses.
        known->version = input.version;
        return;
    }
    known.reset();
    if (input.row.replicas_paused)
        known = pausing_claim{input.row, input.version, ctx.now - input.age};
}

bool may_end_pauses(const context& ctx)
{
    const auto& claim = ctx.state.unfinished;
    return claim && (is_own(ctx, *claim) || has_failed_holder(ctx, *claim));
}

void resume_replicas(context& ctx, const core::server_id& primary)
{
    auto& state = ctx.state;
    // A commit that a resumed replica receives from the old primary is lost if
    // an order takes effect after that.
    const bool late_order =
        state.unanswered_order_at &&
        ctx.now - *state.unanswered_order_at < ctx.settings.late_order_limit;
    if (primary == state.replaced && late_order)
        return;
    drop_unregistered(state, primary);
    for (const auto& id : state.paused)
        ctx.out.push_back(ask_member{id, std::nullopt, std::nullopt, true});
}

void end_pauses(context& ctx, const core::server_id& primary)
{
    auto& claim = ctx.state.unfinished;
    if (claim && !is_own(ctx, *claim) && has_failed_holder(ctx, *claim))
    {
        report_step(ctx, "pauses adopted", claim->row.replaced,
                    "holder " + claim->row.holder.value + " token " +
                        std::to_string(claim->row.token));
        adopt(ctx.state, *claim);
    }
    resume_replicas(ctx, primary);
    if (!claim || !is_own(ctx, *claim) || !ctx.state.paused.empty())
        return;
    report_step(ctx, "pauses ended", claim->row.replaced,
                "token " + std::to_string(claim->row.token));
    claim->row.replicas_paused = false;
    ctx.out.push_back(clear_pauses{claim->row, claim->version});
    claim.reset();
}

void handle_resumed(context& ctx, const member_answered& input)
{
    const auto current = ctx.state.current_phase;
    const bool compares =
        current == phase::querying || current == phase::revoking ||
        current == phase::promoting || current == phase::fencing;
    if (!compares && input.report && input.report->paused_at == 0)
        ctx.state.paused.erase(input.server);
}

}  // namespace godwitbarrow::takeover::detail
