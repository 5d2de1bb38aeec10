#pragma once

#include "output.hpp"

/// Limits of a shutdown, after which the host passes on nothing that it could
/// not answer before the process exits.
namespace godwitbarrow::pooler::detail
{

/// Start of the shutdown that concerns the session: of this host, or of the one
/// that holds the connection of the caller.
std::optional<core::time_point> shutdown_start(const context& ctx,
                                               const caller_session& s);

/// Time by which the statements of the session have to end; none without a
/// shutdown.
std::optional<core::time_point> shutdown_deadline(const context& ctx,
                                                  const caller_session& s);

/// Lets the current statement time out in time for an answer before the process
/// exits.
void limit_to_shutdown(const context& ctx, caller_session& s);

/// Whether the process exits so soon that callers are disconnected at once.
bool is_closing(const context& ctx, const caller_session& s);

bool begins_transaction(const statement& it);

/// Whether a shutdown has lasted so long that transactions have to end.
bool ends_transactions(const context& ctx, const caller_session& s);

/// Whether a shutdown has progressed too far for the statement, so that its
/// caller has to repeat the operation through another host.
bool comes_too_late(const context& ctx, const caller_session& s,
                    const statement& what);

}  // namespace godwitbarrow::pooler::detail
