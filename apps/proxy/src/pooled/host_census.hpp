#pragma once

#include "app.hpp"

namespace godwitbarrow::proxy::pooled
{

/// Announces this host in the store from now on, and counts the hosts that do.
void count_hosts(app& it);

}  // namespace godwitbarrow::proxy::pooled
