#pragma once

#include "output.hpp"

/// Evidence that a primary was not replaced, where a replaced one leads on
/// until it is told to step down. A host that is cut off together with such a
/// primary sees no claim, but neither the store nor another member answers it.
namespace godwitbarrow::pooler::detail
{

/// Records an exchange with a member that began at `began`.
void record_exchange(member& m, core::time_point began,
                     const std::optional<core::log_position>& at);

void record_claims_read(context& ctx, const claims_read& what);

/// Whether the host may send `primary` what only a primary may run, and believe
/// its answers.
bool is_confirmed(const context& ctx, const group& g,
                  const core::server_id& primary);

/// As above, for the member at the other end of the connection.
bool is_confirmed(const context& ctx, const backend_connection& c);

/// Asks for new evidence before the last one expires.
void refresh_evidence(context& ctx, group& g, const core::server_id& primary);

/// Whether the open transaction of the session writes on a primary that is not
/// confirmed.
bool awaits_evidence(const context& ctx, const caller_session& s);

/// Refreshes the evidence on the primary that the open transaction uses.
void refresh_evidence(context& ctx, const caller_session& s);

}  // namespace godwitbarrow::pooler::detail
