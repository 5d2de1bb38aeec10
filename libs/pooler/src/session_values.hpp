#pragma once

#include "godwitbarrow/pooler/state.hpp"

/// Values and prepared statements that a session keeps for its statements.
namespace godwitbarrow::pooler::detail
{

statement_result set_value(const state& all, caller_session& s,
                           const statement& what);
statement_result prepare(state& all, caller_session& s, const statement& what);
statement_result deallocate(caller_session& s, const statement& what);

}  // namespace godwitbarrow::pooler::detail
