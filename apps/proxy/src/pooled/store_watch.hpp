#pragma once

#include "app.hpp"

namespace godwitbarrow::proxy::pooled
{

/// Follows the configuration of the operator and the registrations of the
/// members.
void watch_store(app& it);

}  // namespace godwitbarrow::proxy::pooled
