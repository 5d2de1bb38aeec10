#pragma once

#include "output.hpp"

/// Answers to the statements that give a connection the values and the prepared
/// statement of a session.
namespace godwitbarrow::pooler::detail
{

/// Drops the member's name of the statement to execute from those that are
/// prepared on the connection.
void forget_prepared(backend_connection& c, const caller_session& s);

/// Continues with the caller's statement after the last answer to its setup, or
/// retries it if the setup failed.
void handle_setup_answer(context& ctx, connection_number number,
                         const answer& a, purpose why);

}  // namespace godwitbarrow::pooler::detail
