#pragma once

#include "output.hpp"

/// Sends statements of callers, with what a connection needs before them.
namespace godwitbarrow::pooler::detail
{

/// Sends the current statement on the connection that was chosen for it, or
/// BEGIN first if it needs a transaction. It waits for the answers to what is
/// sent before it.
void send_first(context& ctx, const group& g, session_number number);

/// Sends the current statement on the connection held by its transaction.
void send_on_held(context& ctx, session_number number);

/// Sends the statement that waited for the setup of its connection.
void send_after_setup(context& ctx, connection_number number);

/// Sends the statement once BEGIN has succeeded on its connection.
void send_after_begin(context& ctx, connection_number number);

/// Whether the statement may change data.
bool writes_data(const caller_session& s, const statement& what);

}  // namespace godwitbarrow::pooler::detail
