#pragma once

#include "output.hpp"

namespace godwitbarrow::pooler::detail
{

/// Expires queued statements, unanswered statements, idle connections, idle
/// transactions and, during a shutdown, idle callers.
void expire(context& ctx);

/// Disconnects idle callers at the start of a shutdown.
void begin_shutdown(context& ctx);

}  // namespace godwitbarrow::pooler::detail
