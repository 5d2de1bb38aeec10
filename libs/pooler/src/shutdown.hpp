#pragma once

#include "output.hpp"

/// Limits of a shutdown, after which the host passes on nothing that it could
/// not answer before the process exits.
namespace godwitbarrow::pooler::detail
{

/// Time by which all statements have to end; none without a shutdown.
std::optional<core::time_point> shutdown_deadline(const context& ctx);

/// Lets the statement time out in time for an answer before the process exits.
void limit_to_shutdown(const context& ctx, pending_statement& what);

/// Whether the process exits so soon that callers are disconnected at once.
bool is_closing(const context& ctx);

bool begins_transaction(const statement& it);

/// Whether a shutdown has lasted so long that transactions have to end.
bool ends_transactions(const context& ctx);

/// Whether a shutdown has progressed too far for the statement, so that its
/// caller has to repeat the operation through another host.
bool comes_too_late(const context& ctx, const caller_session& s,
                    const statement& what);

}  // namespace godwitbarrow::pooler::detail
