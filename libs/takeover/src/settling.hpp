#pragma once

#include "context.hpp"

/// Settlement of claims in groups with synchronous replicas. An order that got
/// no answer may take effect at any later time, and a commit that its target
/// lacks is lost then. Only an order with a higher token makes it void. So
/// replicas receive again, and hosts use a primary, only once the platform has
/// accepted an order for this primary under the last claim.
namespace godwitbarrow::takeover::detail
{

/// Whether no order can take effect that names another member than the one for
/// which an order under the last claim of this host was accepted.
bool are_orders_void(const context& ctx);

/// Whether orders under the claim of the row, and under earlier ones, are void
/// once a newer claim replaces it.
bool is_settled(const rows_read& rows);

/// Whether another member may be ordered under the last claim of this host.
bool may_name(const context& ctx, const core::server_id& server);

/// Keeps the primary under a new claim, or ends the pauses of replicas if the
/// last claim of this host has kept or promoted it.
void keep_primary(context& ctx, const core::server_id& primary);

/// Keeps the primary under the claim that this host holds.
void keep_under_claim(context& ctx, const core::server_id& primary);

/// Continues to keep the primary with the rows that were read for it.
void handle_rows_for_kept(context& ctx, const rows_read& rows);

/// Awaits the hosts after the claim was written.
void begin_keeping(context& ctx);

/// Orders that the primary is kept, once the hosts have seen the claim.
void continue_keeping(context& ctx);

/// Records that the platform has accepted an order for the target.
void settle(context& ctx);

/// Tells the pooler which member may be used as of a claim of any host.
void announce_use(context& ctx, const claim& row);

}  // namespace godwitbarrow::takeover::detail
