#pragma once

#include <string>
#include <vector>

#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/core/position.hpp"

namespace godwitbarrow::core
{

enum class reply_status
{
    executed,
    /// The member is in another term; the statement did not run.
    wrong_term,
    /// The member is not the primary; the statement did not run.
    not_primary,
    /// The statement was rejected and had no effect.
    rejected,
    /// All slots were taken; the statement did not run.
    busy
};

/// What a backend server answered to one statement.
struct backend_reply
{
    reply_status status = reply_status::executed;
    /// Echo of the request id; differs if the reply belongs to an earlier use
    /// of the connection.
    request_id id;
    log_position at;
    std::vector<std::string> rows;
    std::string message;
};

}  // namespace godwitbarrow::core
