#pragma once

#include "app.hpp"

namespace godwitbarrow::proxy::pooled
{

/// Asks another member, and the store if needed, whether the primary of a group
/// may have been replaced.
void confirm(app& it, const pooler::confirm_primary& what);

}  // namespace godwitbarrow::proxy::pooled
