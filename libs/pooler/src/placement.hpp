#pragma once

#include "output.hpp"

namespace godwitbarrow::pooler::detail
{

/// Puts the current statement of the session into the queue of its group, or
/// refuses it if it would wait for longer than its objective.
void queue_statement(context& in, session_number number);

/// Puts a statement that was dispatched and not run back into its queue, or
/// gives it up after too many attempts.
void queue_again(context& in, session_number number, const failure& why);

/// Frees what the statement occupies at its member and in the queue.
void end_running(context& in, session_number number, bool measured);

/// Starts waiting statements of the group, the most urgent first.
void dispatch(context& in, group& g);

/// Sends the current statement on the connection that its transaction holds.
void send_on_held(context& in, session_number number);

/// Sends the statement after its connection has begun a transaction.
void send_after_begin(context& in, connection_number number);

/// Whether the statement may change data.
bool writes_data(const caller_session& s, const statement& what);

admission::queue_state& queue_of(group& g, const pending_statement& p);

}  // namespace godwitbarrow::pooler::detail
