#pragma once

#include "context.hpp"

/// Revocation of the old primary, and the log position at which it was left.
namespace godwitbarrow::takeover::detail
{

/// Compares the log positions of the members under the claim of this host. In a
/// group with synchronous replicas the old primary is fenced first.
void begin_comparison(context& ctx);

/// Queries the log position of the old primary, if it is due.
void continue_fencing(context& ctx);

/// Handles the answer of the old primary to that query.
void handle_primary_position(context& ctx, const member_answered& input);

/// Whether the old primary is revoked on all hosts before it is replaced.
bool revokes_primary(const context& ctx);

/// Tells the pooler of this host not to use the old primary. Other hosts do so
/// when they see the claim.
void revoke(context& ctx);

/// Whether the group has no primary that could acknowledge a commit or report
/// its log position. One that callers do not reach is queried once: it may have
/// stepped down for a host that has failed since.
bool is_primary_lost(const context& ctx);

}  // namespace godwitbarrow::takeover::detail
