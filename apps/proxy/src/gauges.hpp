#pragma once

#include "app.hpp"

namespace godwitbarrow::proxy
{

/// Sets the metrics that describe the present state.
void update_gauges(app& it);

}  // namespace godwitbarrow::proxy
