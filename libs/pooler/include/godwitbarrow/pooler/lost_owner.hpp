#pragma once

#include <string>
#include <vector>

#include "godwitbarrow/pooler/statement.hpp"

/// What the host that holds the connection of a caller answers for an owner of
/// the session that it can no longer ask.
namespace godwitbarrow::pooler
{

/// A statement that the owner has not answered.
struct outstanding_statement
{
    core::request_id id;
    verb kind = verb::unknown;
};

/// An answer to each of the statements, which the caller has sent in this
/// order. `in_transaction` tells where the session was before the first one.
/// That nothing was kept is only said if none of them can have been committed.
std::vector<answer> answer_without_owner(
    const std::vector<outstanding_statement>& all, bool in_transaction,
    const std::string& reason);

}  // namespace godwitbarrow::pooler
