#pragma once

#include "app.hpp"

namespace godwitbarrow::proxy::pooled
{

/// Watches the primaries of all groups and replaces those that are unreachable
/// or leaving, until the process ends.
void watch_primaries(app& it);

/// Reads the claims of all hosts once more, for evidence that no primary was
/// replaced.
void read_claims(app& it);

}  // namespace godwitbarrow::proxy::pooled
