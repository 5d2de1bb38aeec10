#pragma once

#include "output.hpp"

namespace godwitbarrow::pooler::detail
{

/// Enqueues the current statement of the session in its group, or refuses it if
/// the expected wait exceeds its limit.
void queue_statement(context& ctx, session_number number);

/// Returns a dispatched statement that was not executed to its queue, or fails
/// it after too many attempts.
void requeue_statement(context& ctx, session_number number, const failure& why);

/// Releases the slots that the statement occupies at its member and in the
/// queue. `measured` tells whether its running time is a valid sample.
void release_slots(context& ctx, session_number number, bool measured);

/// Starts queued statements of the group, the most urgent first.
void dispatch(context& ctx, group& g);

/// Whether the transaction has written, or is about to write, on a primary that
/// is being replaced. Its commit could be lost.
bool writes_on_revoked_primary(const context& ctx, const caller_session& s);

admission::queue_state& queue_of(group& g, const pending_statement& p);

}  // namespace godwitbarrow::pooler::detail
