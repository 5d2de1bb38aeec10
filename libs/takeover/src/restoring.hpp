#pragma once

#include "context.hpp"

/// A store that was restored from a copy. It may lack the last claims, and
/// gives out versions again that it had given out before.
namespace godwitbarrow::takeover::detail
{

/// Ends the takeover of this host if its claim belongs to an earlier era.
void note_era(context& ctx, std::uint64_t era);

/// Records a token that may have been used.
void note_token(context& ctx, std::uint64_t token);

/// Whether the last claim of this host was made in the current era.
bool is_claim_current(const context& ctx);

/// Whether a host that has not seen the new era yet may still act on a claim
/// that the store has lost.
bool awaits_lost_claims(const context& ctx);

/// Returns the token of a claim that replaces the row that was read, or no
/// value if the era has no token left. No other claim that is stored uses it,
/// also none that the store has lost: eras are never given out again, and
/// neither is the version of a row within one of them.
std::optional<std::uint64_t> next_token(const context& ctx,
                                        const rows_read& rows);

}  // namespace godwitbarrow::takeover::detail
