#pragma once

#include "context.hpp"

/// Agreement of the hosts on a takeover through votes and claims in the store.
namespace godwitbarrow::takeover::detail
{

void start_reading_rows(context& ctx);

void handle_rows(context& ctx, const rows_read& rows);

/// Whether the row is the last claim of this host. One that was written under a
/// condition of an earlier era counts for nothing.
bool is_own_claim(const context& ctx, const claim& row);

/// Whether another host may act on the last claim.
bool is_claimed_by_other(const context& ctx, const rows_read& rows);

/// Writes a claim of this host in place of the row that was read. It replaces
/// no primary if `replaced` is empty.
void write_next_claim(context& ctx, const rows_read& rows,
                      const core::server_id& replaced);

void handle_write_result(context& ctx, const row_written& input);

/// Revokes the primary that another host has claimed to replace.
void handle_observed_claim(context& ctx, const claim_observed& input);

}  // namespace godwitbarrow::takeover::detail
