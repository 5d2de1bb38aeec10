#pragma once

#include "output.hpp"

namespace godwitbarrow::pooler::detail
{

/// Ends what is due: waiting statements, silent members, idle connections,
/// idle transactions and, at a shutdown, idle callers.
void expire(context& in);

/// Disconnects idle callers at the start of a shutdown.
void begin_shutdown(context& in);

}  // namespace godwitbarrow::pooler::detail
