#pragma once

#include <optional>

#include "godwitbarrow/core/position.hpp"

namespace godwitbarrow::session
{

/// Whether a member holds everything up to `seen`. `role` is the role of the
/// member in `current_term`, the newest term that this host knows. A member
/// whose log belongs to another term never counts: a promotion may have
/// truncated the position. Absent `seen`: the log term alone decides.
bool has_reached(const std::optional<core::log_position>& seen,
                 const core::member_status& status, core::member_role role,
                 core::term_number current_term);

}  // namespace godwitbarrow::session
