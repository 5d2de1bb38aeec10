#pragma once

#include "context.hpp"

/// Comparison of the log positions of the members, and choice of the one to
/// promote, by the host that holds the claim.
namespace godwitbarrow::takeover::detail
{

/// Queries the log positions of the members. Where commits are acknowledged by
/// replicas, these first stop receiving.
void query_members(context& ctx);

/// Queries members that joined the group after the comparison had begun.
void query_new_members(context& ctx);

/// Handles an answer to these queries.
void handle_report(context& ctx, const member_answered& input);

/// Chooses the best of the members that have answered, if they are enough.
void choose_target(context& ctx);

}  // namespace godwitbarrow::takeover::detail
