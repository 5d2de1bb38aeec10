#pragma once

#include "app.hpp"

/// Shows in logs and metrics what waits on the links to other hosts and how
/// late the event loop is.
namespace godwitbarrow::proxy::pooled
{

/// Looks at the links from now on. Called after `start_mesh`.
void watch_links(app& it);

}  // namespace godwitbarrow::proxy::pooled
