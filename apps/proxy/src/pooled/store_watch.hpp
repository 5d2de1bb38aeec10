#pragma once

#include "app.hpp"

namespace godwitbarrow::proxy::pooled
{

/// Follows the operator's configuration, the registrations of the members and
/// the hosts of the proxy in the platform's store, until the process ends.
void watch_store(app& it);

}  // namespace godwitbarrow::proxy::pooled
