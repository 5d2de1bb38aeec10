#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "godwitbarrow/model/group.hpp"
#include "godwitbarrow/pooler/configuration.hpp"

/// Compares what callers were told with what members ran. Sans I/O.
namespace godwitbarrow::model
{

using caller_number = std::uint64_t;

/// What a caller was told of an operation.
enum class told
{
    nothing,
    acknowledged,
    /// That nothing of it is kept.
    refused
};

/// One statement outside of transactions, or one transaction.
struct operation
{
    caller_number caller = 0;
    core::time_point first_byte;
    bool in_transaction = false;
    told result = told::nothing;
    /// The member's session and transaction that it runs in.
    session_number session = 0;
    std::uint64_t transaction = 0;
    commit_ptr committed;
};

struct sent_statement
{
    std::uint64_t operation = 0;
    pooler::query what;
    /// Shape of a prepared statement that is executed.
    std::string shape;
    /// Session values when it was sent; it may run late, after others.
    std::map<std::string, std::string> values;
    bool writes = false;
    /// Whether a member ran it.
    bool ran = false;
    unsigned commits = 0;
};

struct caller_view
{
    pooler::route by;
    std::map<std::string, std::string> values;
    std::map<std::string, pooler::statement> prepared;
    /// Number of the open transaction, 0 if there is none.
    std::uint64_t transaction = 0;
    /// The statement without an answer yet.
    std::optional<core::request_id> waiting;
};

struct acknowledged_commit
{
    commit_ptr what;
    core::time_point at;
    caller_number caller = 0;
};

struct signed_answer
{
    core::request_id id;
    std::vector<std::string> rows;
    commit_ptr committed;
    /// Whether it was committed after the promotion of another member.
    bool at_former_primary = false;
};

struct oracle
{
    std::unordered_map<caller_number, caller_view> callers;
    std::unordered_map<std::uint64_t, operation> operations;
    std::unordered_map<core::request_id, sent_statement> statements;
    std::unordered_map<std::string, signed_answer> answers;
    std::map<core::group_id, std::vector<acknowledged_commit>> acknowledged;
    /// Transactions of members, by group and number, and their operations.
    std::map<std::pair<core::group_id, std::uint64_t>, std::uint64_t> owners;
    /// Until then a host is frozen or has just resumed, and may use a primary
    /// whose replacement it could not learn of.
    core::time_point excused_until;
    std::uint64_t last_operation = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    /// Promises that were broken, in plain words.
    std::vector<std::string> violations;
};

void caller_started(oracle& it, caller_number caller, const pooler::route& by);
void caller_ended(oracle& it, caller_number caller);

/// The caller sends the statement; its id is new.
void statement_sent(oracle& it, caller_number caller, const pooler::query& what,
                    core::time_point now);

/// The caller received the whole answer to its statement.
void statement_answered(oracle& it, caller_number caller,
                        const pooler::answer& what, core::time_point now);

/// A member ran a statement.
void statement_ran(oracle& it, const group& at, const run& what);

/// A promotion took effect.
void primary_changed(oracle& it, const group& at);

/// Whether the answer promises that nothing of the operation is kept.
bool is_refusal(const pooler::answer& it);

}  // namespace godwitbarrow::model
