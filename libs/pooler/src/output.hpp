#pragma once

#include "godwitbarrow/pooler/state.hpp"

namespace godwitbarrow::pooler::detail
{

/// State, time and output actions while one event is handled.
struct context
{
    state& pooler;
    core::time_point now;
    actions out;
};

/// Completes the current statement of the session with this answer.
void finish_statement(context& ctx, session_number number, answer what);

/// Completes the current statement with a failure.
void fail_statement(context& ctx, session_number number, failure_code code,
                    std::string reason);

/// Takes the current statement out of its queue and refuses it as busy.
void fail_queued(context& ctx, session_number number, std::string reason);

/// Completes the current statement without involving a member.
void answer_locally(context& ctx, session_number number, statement_result what);

session_state state_of(const caller_session& it);

}  // namespace godwitbarrow::pooler::detail
