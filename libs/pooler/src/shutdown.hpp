#pragma once

#include "output.hpp"

/// Limits of a shutdown, after which the host passes on nothing that it could
/// not answer before the process exits.
namespace godwitbarrow::pooler::detail
{

/// Whether a shutdown has lasted so long that transactions have to end.
bool ends_transactions(const context& ctx);

/// Whether a shutdown has progressed too far for the statement, so that its
/// caller has to repeat the operation through another host.
bool comes_too_late(const context& ctx, const caller_session& s,
                    const statement& what);

}  // namespace godwitbarrow::pooler::detail
