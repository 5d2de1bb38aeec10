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

/// Age from which on the holder of the claim must have failed. A promotion that
/// it has settled takes effect first.
std::chrono::milliseconds holder_limit(const context& ctx, const claim& row)
{
    const auto& settings = ctx.settings;
    auto limit = settings.claim_ttl + spread_of(settings, row);
    if (!row.settled.value.empty())
        limit += settings.promotion_settle_time;
    return limit;
}

bool has_failed_holder(const context& ctx, const pausing_claim& claim)
{
    return ctx.now - claim.made_at >= holder_limit(ctx, claim.row);
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

void expect_all_paused(takeover_state& state)
{
    const auto& view = state.view;
    state.paused.insert(view.candidates.begin(), view.candidates.end());
    state.paused.insert(view.leaving_members.begin(),
                        view.leaving_members.end());
}

void adopt_pauses(context& ctx)
{
    auto& claim = ctx.state.unfinished;
    if (!claim || is_own(ctx, *claim) || !has_failed_holder(ctx, *claim))
        return;
    report_step(ctx, "pauses adopted", claim->row.replaced,
                "holder " + claim->row.holder.value + " token " +
                    std::to_string(claim->row.token));
    expect_all_paused(ctx.state);
    claim->adopted = true;
}

void resume_replicas(context& ctx, const core::server_id& primary)
{
    drop_unregistered(ctx.state, primary);
    for (const auto& id : ctx.state.paused)
        ctx.out.push_back(ask_member{id, std::nullopt, std::nullopt, true});
}

void end_pauses(context& ctx, const core::server_id& primary,
                std::uint64_t version)
{
    auto& state = ctx.state;
    resume_replicas(ctx, primary);
    if (!state.paused.empty())
        return pause_for(ctx, ctx.settings.promotion_settle_time);
    report_step(ctx, "pauses ended", primary,
                "token " + std::to_string(state.token));
    state.own_claim.replicas_paused = false;
    state.own_claim.settled = primary;
    ctx.out.push_back(clear_pauses{state.own_claim, version});
    state.unfinished.reset();
    state.kept.reset();
    enter_phase(ctx, phase::idle);
}

void handle_resumed(context& ctx, const member_answered& input)
{
    const auto current = ctx.state.current_phase;
    const bool compares =
        current == phase::querying || current == phase::revoking ||
        current == phase::promoting || current == phase::fencing ||
        current == phase::keeping;
    if (!compares && input.report && input.report->paused_at == 0)
        ctx.state.paused.erase(input.server);
}

}  // namespace godwitbarrow::takeover::detail
