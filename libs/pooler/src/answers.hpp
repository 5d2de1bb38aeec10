#pragma once

#include "output.hpp"

namespace godwitbarrow::pooler::detail
{

void take_connected(context& in, const member_connected& what);
void take_answer(context& in, const member_answered& what);
void take_lost(context& in, const member_connection_lost& what);

/// Gives up the statement on a connection that did not answer in time.
void time_out(context& in, session_number number);

}  // namespace godwitbarrow::pooler::detail
