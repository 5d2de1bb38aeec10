#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/core/position.hpp"

/// Statements and answers, apart from their encoding.
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
    /// A text that callers may not send.
    unknown
};

struct statement
{
    verb kind = verb::unknown;
    /// Of the session value or of the prepared statement.
    std::string name;
    /// Whether a prepared statement writes.
    bool writes = false;
    /// `read`, `write`: the whole text. `set`: the value. `prepare`: the
    /// shape. `execute`: the arguments.
    std::string text;
};

/// One statement of a caller. The id is empty for statements of the proxy.
struct query
{
    core::request_id id;
    statement stmt;
    /// Position that the member must hold before it runs the statement.
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
    malformed,
    too_large,
    /// Nothing of the operation is kept.
    aborted,
    /// The operation may have taken effect.
    in_doubt
};

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

/// The member's proof that it ran the statement; empty for statements that
/// the proxy answers itself.
struct success
{
    std::string signature;
};

using statement_result = std::variant<success, failure>;

/// The whole answer to one statement.
struct answer
{
    std::vector<std::string> rows;
    statement_result result;
    session_state state = session_state::idle;
    /// Position of the log of the member that answered.
    std::optional<core::log_position> at;
};

inline const failure* failure_of(const answer& it)
{
    return std::get_if<failure>(&it.result);
}

}  // namespace godwitbarrow::pooler
