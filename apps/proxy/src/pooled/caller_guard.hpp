#pragma once

#include <cstddef>

#include "app.hpp"

/// Bounds what callers hold: connections, memory, and time for what they have
/// begun. Decisions are made in `admission`.
namespace godwitbarrow::proxy::pooled
{

/// Sets the limits and starts to check the progress of callers.
void start_caller_guard(app& it);

/// Whether a new connection may be served. Closes others where that makes room.
bool make_room_for_caller(app& it);

/// Limits for the stream of a caller.
stream::limits caller_stream_limits();

void add_to_guard(app& it, pooler::session_number session,
                  const stream::connection_ptr& link);
/// The socket was closed.
void remove_from_guard(app& it, pooler::session_number session);

void note_started(app& it, pooler::session_number session);
/// Call before the statement is handed on.
void note_statement(app& it, pooler::session_number session, std::size_t bytes);
/// `stored_bytes`: the values and prepared statements of the session that this
/// host keeps.
void note_answer(app& it, pooler::session_number session,
                 std::size_t stored_bytes, bool in_transaction);
void note_buffered(app& it, pooler::session_number session, std::size_t bytes);

}  // namespace godwitbarrow::proxy::pooled
