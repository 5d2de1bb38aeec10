#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/core/position.hpp"

/// A caller's request and the three outcomes that it can have.
namespace godwitbarrow::core
{

/// Urgency of a request, most urgent first.
enum class rank
{
    urgent,
    interactive,
    deferred
};
constexpr std::size_t rank_count = 3;
constexpr std::array<rank, rank_count> all_ranks{
    rank::urgent, rank::interactive, rank::deferred};

constexpr std::size_t index_of(rank it)
{
    return static_cast<std::size_t>(it);
}

std::string_view to_string(rank it);
std::optional<rank> parse_rank(std::string_view text);

enum class access_mode
{
    read,
    write,
    begin,
    statement,
    commit,
    rollback
};

std::string_view to_string(access_mode it);
std::optional<access_mode> parse_access(std::string_view text);

struct request
{
    request_id id;
    group_id group;
    /// Kind of work, for example "quote"; settings map it to `importance`.
    std::string kind;
    rank importance = rank::deferred;
    access_mode access = access_mode::read;
    std::string statement;
    /// Position that the session has seen in this group, if any.
    std::optional<log_position> token;
    /// Greatest accepted age of the data of a read. Absent: only the token
    /// limits it.
    std::optional<std::chrono::milliseconds> max_age;
    time_point deadline;
    std::optional<idempotency_key> key;
    std::optional<transaction_id> transaction;
};

/// A write that changes data outside a transaction.
constexpr bool is_write(access_mode it)
{
    return it == access_mode::write || it == access_mode::commit;
}

/// Whether sending the request twice has the same effect as sending it once.
inline bool is_repeatable(const request& it)
{
    if (it.access == access_mode::read)
        return true;
    return it.access == access_mode::write && it.key.has_value();
}

struct completed
{
    /// Rows as the backend server returned them, one string a row.
    std::vector<std::string> rows;
    server_id server;
    log_position at;
    /// Set in the answer to `begin`.
    std::optional<transaction_id> transaction;
};

/// The statement was not run by any backend server.
struct not_run
{
    error reason;
    /// Absent if a retry of the same request cannot help.
    std::optional<std::chrono::milliseconds> retry_after;
};

/// The statement may or may not have taken effect.
struct outcome_unknown
{
    error reason;
};

using outcome = std::variant<completed, not_run, outcome_unknown>;

}  // namespace godwitbarrow::core
