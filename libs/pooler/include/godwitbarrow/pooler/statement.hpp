#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/core/position.hpp"

/// Statements and answers, independent of their encoding.
namespace godwitbarrow::pooler
{

enum class verb
{
    begin,
    begin_read,
    commit,
    rollback,
    read,
    write,
    set,
    prepare,
    execute,
    deallocate,
    /// Clears the values and prepared statements of a connection.
    reset,
    /// A statement that callers may not send.
    unknown
};

struct statement
{
    verb kind = verb::unknown;
    /// Name of the session value or of the prepared statement.
    std::string name;
    /// Whether a prepared statement writes.
    bool writes = false;
    /// `read`, `write`: the whole text. `set`: the value. `prepare`: the
    /// shape. `execute`: the arguments.
    std::string text;
};

/// One statement with its request. The id is empty for statements that the
/// proxy issues itself.
struct query
{
    core::request_id id;
    statement stmt;
    /// Log position that the member must have applied before it runs the
    /// statement.
    std::optional<core::log_position> after;
};

enum class failure_code
{
    busy,
    lagging,
    read_only,
    misrouted,
    too_many_connections,
    failed,
    timed_out,
    unknown_statement,
    unknown_database,
    /// The key of the caller is not valid.
    not_admitted,
    /// The quota of the workspace is reached; nothing was run.
    over_quota,
    malformed,
    too_large,
    /// The operation had no effect.
    aborted,
    /// The operation may have taken effect.
    in_doubt
};

/// Name of the code in logs and metrics.
std::string_view to_string(failure_code it);

struct failure
{
    failure_code code = failure_code::failed;
    std::string text;
};

enum class session_state
{
    idle,
    in_transaction,
    failed_transaction
};

/// The signature by which a member proves that it ran the statement; empty for
/// statements that the proxy answers itself.
struct success
{
    std::string signature;
};

using statement_result = std::variant<success, failure>;

/// The complete answer to one statement.
struct answer
{
    std::vector<std::string> rows;
    statement_result result;
    session_state state = session_state::idle;
    /// Log position of the member that answered.
    std::optional<core::log_position> at;
};

inline const failure* failure_of(const answer& it)
{
    return std::get_if<failure>(&it.result);
}

}  // namespace godwitbarrow::pooler
