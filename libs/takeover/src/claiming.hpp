#pragma once

#include "context.hpp"

/// Agreement of the hosts on a takeover through votes and claims in the store.
namespace godwitbarrow::takeover::detail
{

void start_reading_rows(context& ctx);

void handle_rows(context& ctx, const rows_read& rows);

void handle_write_result(context& ctx, const row_written& input);

/// Revokes the primary that another host has claimed to replace.
void handle_observed_claim(context& ctx, const claim_observed& input);

}  // namespace godwitbarrow::takeover::detail
