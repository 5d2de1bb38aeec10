#pragma once

#include "app.hpp"

namespace godwitbarrow::proxy::pooled
{

/// Follows the configuration of the operator and the registrations of the
/// members.
void watch_store(app& it);

/// Puts a configuration in force, as the operator wrote it, unless it cannot be
/// read or a newer one is in force. `rows` is the revision of the operator's
/// table, if it came with that. Called on the strand of `app::hosts`.
void apply_configuration(app& it, const std::string& text,
                         const std::optional<transfer::revision>& rows);

}  // namespace godwitbarrow::proxy::pooled
