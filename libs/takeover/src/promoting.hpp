#pragma once

#include "context.hpp"

/// Choice and promotion of the new primary by the host that holds the claim.
namespace godwitbarrow::takeover::detail
{

/// Compares the log positions of the members under the claim of this host. In a
/// group with synchronous replicas the old primary is fenced first.
void begin_comparison(context& ctx);

/// Whether the old primary is revoked on all hosts before it is replaced.
bool revokes_primary(const context& ctx);

/// Queries the log position of the old primary, if it is due.
void continue_fencing(context& ctx);

/// Handles the answer of the old primary to that query.
void handle_primary_position(context& ctx, const member_answered& input);

/// Queries members that joined the group after the comparison had begun.
void query_new_members(context& ctx);

/// Handles an answer to the queries of the log positions.
void handle_report(context& ctx, const member_answered& input);

/// Promotes the best of the members that have answered, if they are enough.
void choose_target(context& ctx);

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
