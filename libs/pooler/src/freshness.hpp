#pragma once

#include "godwitbarrow/pooler/state.hpp"

namespace godwitbarrow::pooler::detail
{

/// Records the log position that the primary reported in an exchange that
/// began at `sent`. The member must not be revoked.
void record_primary_position(group& it, const core::server_id& server,
                             core::time_point sent,
                             const std::optional<core::log_position>& at);

/// Records that the member denied being the primary.
void record_primary_denial(group& it, member& m, core::time_point now);

/// Stops the use of the member as the primary.
void revoke_primary(group& it, const core::server_id& server,
                    const pooler_settings& settings, core::time_point now);

/// Whether the member must not be used as the primary.
bool is_revoked(const group& it, const core::server_id& server,
                const pooler_settings& settings, core::time_point now);

/// Returns since when the member has not been allowed as the primary; absent if
/// it is allowed. The beginning of time for one that was replaced.
std::optional<core::time_point> revoked_since(const group& it,
                                              const core::server_id& server,
                                              const pooler_settings& settings,
                                              core::time_point now);

/// Sets which member is allowed as the primary. An older claim changes nothing.
void settle_primary(group& it, settlement to);

/// Updates the assumed primary from the roles that the members registered.
void adopt_reported_primary(group& it, const pooler_settings& settings,
                            core::time_point now);

/// Updates the assumed primary from the result of a takeover.
void apply_takeover_result(group& it, const core::server_id& server,
                           bool promoted, core::time_point now);

/// Returns the member to query for the newest data; absent if all members have
/// just denied being the primary.
std::optional<core::server_id> primary_candidate(
    const group& it, const pooler_settings& settings, core::time_point now);

/// Returns the log position that a replica must have applied to run the
/// statement; absent if only the primary may run it.
std::optional<core::log_position> required_position(
    const group& it, const caller_session& s, const pooler_settings& settings);

}  // namespace godwitbarrow::pooler::detail
