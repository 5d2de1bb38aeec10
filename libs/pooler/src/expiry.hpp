#pragma once

#include "output.hpp"

namespace godwitbarrow::pooler::detail
{

/// Expires queued statements, unanswered statements, idle connections, idle
/// transactions and, during a shutdown, idle callers.
void expire(context& ctx);

/// Disconnects idle callers at the start of a shutdown.
void begin_shutdown(context& ctx);

/// Applies the limits of a shutdown to sessions whose entry host is stopping.
void drain_sessions(context& ctx, const relayed_sessions_draining& what);

}  // namespace godwitbarrow::pooler::detail
