#include "restoring.hpp"

#include <algorithm>
#include <limits>

namespace godwitbarrow::takeover::detail
{
namespace
{

/// Whether the next step rests on the claim of this host. An order that was
/// sent is awaited, but not repeated.
bool relies_on_claim(phase it)
{
    return it == phase::claiming || it == phase::fencing ||
           it == phase::querying || it == phase::revoking ||
           it == phase::keeping;
}

}  // namespace

void note_era(context& ctx, std::uint64_t era)
{
    auto& state = ctx.state;
    if (era <= state.store_era)
        return;
    const bool first = state.store_era == 0;
    state.store_era = era;
    if (first)
        return;
    state.restored_at = ctx.now;
    if (!relies_on_claim(state.current_phase))
        return;
    report_step(ctx, "claim lost", state.replaced,
                "store restored, token " + std::to_string(state.token));
    pause_for(ctx, ctx.settings.retry_delay);
}

void note_token(context& ctx, std::uint64_t token)
{
    ctx.state.highest_token = std::max(ctx.state.highest_token, token);
}

bool is_claim_current(const context& ctx)
{
    return ctx.state.claim_era == ctx.state.store_era;
}

bool awaits_lost_claims(const context& ctx)
{
    const auto& at = ctx.state.restored_at;
    return at && ctx.now - *at < ctx.settings.claim_ttl;
}

std::optional<std::uint64_t> next_token(const context& ctx,
                                        const rows_read& rows)
{
    constexpr auto largest = std::numeric_limits<std::uint64_t>::max();
    if (rows.version >= tokens_per_era || rows.era >= largest / tokens_per_era)
        return std::nullopt;
    const auto lowest = rows.era * tokens_per_era + rows.version;
    const auto last = rows.last_claim.value_or(claim{}).token;
    const auto highest = std::max({lowest, last, ctx.state.highest_token});
    if (highest == largest)
        return std::nullopt;
    return highest + 1;
}

}  // namespace godwitbarrow::takeover::detail
