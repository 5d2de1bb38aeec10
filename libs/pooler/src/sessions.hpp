#pragma once

#include "output.hpp"

namespace godwitbarrow::pooler::detail
{

void start_session(context& in, const caller_started& what);
void take_query(context& in, const caller_query& what);
void end_session(context& in, session_number number);

/// Disconnects the session and ends its transaction.
void close_session(context& in, session_number number);

}  // namespace godwitbarrow::pooler::detail
