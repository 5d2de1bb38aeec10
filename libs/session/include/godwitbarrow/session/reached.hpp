#pragma once

#include <optional>

#include "godwitbarrow/core/position.hpp"

namespace godwitbarrow::session
{

/// Returns whether a member holds the log up to position `seen`. `role` is the
/// role of the member in `current_term`, the newest term known to this host.
/// The result is false for a member whose log belongs to another term, because
/// a promotion may have truncated the position. Without `seen` only the log
/// term is checked.
bool has_reached(const std::optional<core::log_position>& seen,
                 const core::member_status& status, core::member_role role,
                 core::term_number current_term);

}  // namespace godwitbarrow::session
