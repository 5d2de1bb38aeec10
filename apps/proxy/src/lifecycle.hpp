#pragma once

#include "app.hpp"

namespace godwitbarrow::proxy
{

/// Opens the ports and joins the other hosts. Needs the settings. Errors:
/// invalid_settings if this host is not in them or a port is taken.
core::result<std::monostate> start_serving(app& it);

/// Begins the graceful shutdown: fails the health check, gives up ownership,
/// finishes the requests in flight and then stops the workers. A second call
/// stops at once.
void shut_down(app& it);

}  // namespace godwitbarrow::proxy
