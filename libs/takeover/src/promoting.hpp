#pragma once

#include "context.hpp"

/// Promotion of the chosen member by the host that holds the claim.
namespace godwitbarrow::takeover::detail
{

/// Promotes the target at once, or first has the old primary step down. The old
/// primary leads until the promotion takes effect, and on some platforms
/// longer, so a write that a host still sends to it would be acknowledged and
/// lost. If it has commits that the target lacks, the comparison starts anew.
void replace_primary(context& ctx);

/// Orders the promotion of the target under the claim of this host, unless
/// another host may have claimed since.
void send_promotion(context& ctx);

/// Handles the answer of the old primary to a step-down request.
void handle_step_down(context& ctx, const member_answered& input);

/// Repeats a step-down request that was not confirmed, if it is due.
void repeat_step_down(context& ctx);

/// Orders the promotion once all hosts have had time to see the claim. A
/// primary of a group with synchronous replicas that still answers has to
/// confirm that it has stepped down, or at least that the target has all its
/// commits.
void promote_if_revoked(context& ctx);

void handle_promotion_answer(context& ctx, const promotion_answered& input);

}  // namespace godwitbarrow::takeover::detail
