#pragma once

#include "output.hpp"

namespace godwitbarrow::pooler::detail
{

void handle_connected(context& ctx, const member_connected& what);
void handle_answer(context& ctx, const member_answered& what);
void handle_connection_lost(context& ctx, const member_connection_lost& what);

/// Closes a connection that did not answer in time and fails or requeues its
/// statement.
void handle_timeout(context& ctx, session_number number);

}  // namespace godwitbarrow::pooler::detail
