#pragma once

#include "output.hpp"

/// Charges the operations of callers to the quotas of their workspaces. An
/// operation is a statement outside a transaction, or a whole transaction.
namespace godwitbarrow::pooler::detail
{

/// Queues the current statement of the session for a member, once an operation
/// was lent for it if its workspace has a quota. The statement begins an
/// operation.
void start_operation(context& ctx, session_number number);

/// Starts the operations for which the quota suffices and refuses the others.
void handle_lent(context& ctx, const operations_lent& what);

/// Takes a statement that awaits an operation off the list of its workspace.
void stop_waiting_for_quota(context& ctx, session_number number);

/// Repeats requests that were not answered, and refuses statements that have
/// waited too long.
void expire_borrowing(context& ctx);

}  // namespace godwitbarrow::pooler::detail
