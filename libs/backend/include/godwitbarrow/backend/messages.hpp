#pragma once

#include <optional>
#include <string>

#include "godwitbarrow/core/backend_reply.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/core/position.hpp"
#include "godwitbarrow/core/request.hpp"

/// What is sent to a backend server and what it answers.
namespace godwitbarrow::backend
{

/// One statement for one member. A transaction is bound to its connection.
struct statement_call
{
    core::request_id id;
    core::term_number term = 0;
    core::access_mode access = core::access_mode::read;
    std::string statement;
    /// Whether the statement belongs to the transaction of the connection.
    bool in_transaction = false;
    std::optional<core::idempotency_key> key;
};

/// What a member knows of an idempotency key. Without `stored`, the member's
/// log up to `status.position` does not contain the key.
struct lookup_answer
{
    /// Stored result; `at` is its position in the log of `status.log_term`.
    std::optional<core::backend_reply> stored;
    core::member_status status;
};

}  // namespace godwitbarrow::backend
