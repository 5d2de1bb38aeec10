#pragma once

#include "godwitbarrow/pooler/state.hpp"

namespace godwitbarrow::pooler::detail
{

/// Records that the primary was at a position in an exchange begun at `sent`.
void note_primary(group& it, const core::server_id& server,
                  core::time_point sent,
                  const std::optional<core::log_position>& at);

/// Records that the member denied to be the primary.
void refute_primary(group& it, member& m, core::time_point now);

/// Takes over what the members say of themselves.
void adopt_reported_primary(group& it, core::time_point now);

/// Takes over what a takeover found out.
void confirm_primary(group& it, const core::server_id& server, bool promoted,
                     core::time_point now);

/// The member to ask for the newest data; absent if all denied it just now.
std::optional<core::server_id> primary_candidate(
    const group& it, const pooler_settings& settings, core::time_point now);

/// The position that a replica must hold to run the statement. Absent: only
/// the primary may run it.
std::optional<core::log_position> required_position(
    const group& it, const caller_session& s, const pooler_settings& settings);

}  // namespace godwitbarrow::pooler::detail
