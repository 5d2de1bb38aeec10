#pragma once

#include "output.hpp"

namespace godwitbarrow::pooler::detail
{

void start_session(context& ctx, const caller_started& what);
void enqueue_query(context& ctx, const caller_query& what);
void end_session(context& ctx, session_number number);

/// Disconnects the caller and ends its session and transaction.
void close_session(context& ctx, session_number number);

}  // namespace godwitbarrow::pooler::detail
