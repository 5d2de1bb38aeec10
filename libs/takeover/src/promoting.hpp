#pragma once

#include "context.hpp"

/// Choice and promotion of the new primary by the host that holds the claim.
namespace godwitbarrow::takeover::detail
{

/// Asks the members for their log positions.
void query_members(context& ctx);

/// Handles an answer to the queries of the log positions.
void handle_report(context& ctx, const member_answered& input);

/// Promotes the best of the members that have answered, if they are enough.
void choose_target(context& ctx);

/// Handles the answer of the old primary to a step-down request.
void handle_step_down(context& ctx, const member_answered& input);

/// Repeats a step-down request that was not confirmed, if it is due.
void repeat_step_down(context& ctx);

/// Orders the promotion once all hosts have had time to see the claim.
void promote_if_revoked(context& ctx);

/// Lets the replicas that this host has paused receive from the primary again.
void resume_replicas(context& ctx, const core::server_id& primary);

void handle_promotion_answer(context& ctx, const promotion_answered& input);

}  // namespace godwitbarrow::takeover::detail
