#pragma once

#include "godwitbarrow/pooler/state.hpp"

namespace godwitbarrow::pooler::detail
{

/// State and outputs of one decision.
struct context
{
    state& pooler;
    core::time_point now;
    actions out;
};

/// Ends the current statement of the session with this answer.
void finish_statement(context& in, session_number number, answer what);

/// Ends the current statement with a refusal or failure.
void fail_statement(context& in, session_number number, failure_code code,
                    std::string reason);

/// Answers a statement that needs no member.
void answer_locally(context& in, session_number number, statement_result what);

session_state state_of(const caller_session& it);

std::string_view to_string(failure_code it);

}  // namespace godwitbarrow::pooler::detail
