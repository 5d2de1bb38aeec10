#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/pooler/configuration.hpp"
#include "godwitbarrow/pooler/statement.hpp"
#include "godwitbarrow/workspaces/keys.hpp"

/// Input events and output actions of the pooler.
namespace godwitbarrow::pooler
{

using session_number = std::uint64_t;
using connection_number = std::uint64_t;

/// A caller connected and specified its database.
struct caller_started
{
    session_number session = 0;
    std::string database;
    std::optional<workspaces::key_hash> key = std::nullopt;
    /// Another host holds the connection of the caller.
    bool relayed = false;
};

struct caller_query
{
    session_number session = 0;
    query request;
};

/// The caller closed its connection or the connection broke.
struct caller_disconnected
{
    session_number session = 0;
};

/// The member accepted the connection.
struct member_connected
{
    connection_number connection = 0;
    std::optional<core::log_position> at;
};

struct member_answered
{
    connection_number connection = 0;
    answer reply;
};

/// The connection to a member could not be opened, or it was lost.
struct member_connection_lost
{
    connection_number connection = 0;
    std::optional<failure> refusal;
    std::string reason;
};

struct configuration_changed
{
    configuration config;
};

/// The complete list of currently registered members.
struct members_changed
{
    std::vector<registration> registrations;
};

/// A member answered a status query as the primary, or was promoted.
struct primary_confirmed
{
    core::group_id group;
    core::server_id server;
    bool promoted = false;
};

/// A host has claimed to replace the primary, which must not be used any more.
struct primary_revoked
{
    core::group_id group;
    core::server_id server;
};

/// Which member may be used as the primary of a group with synchronous replicas
/// as of the last claim of a host. While there is none, a promotion that was
/// ordered may take effect at any time, and a commit would be lost by it.
struct primary_settled
{
    core::group_id group;
    std::uint64_t token = 0;
    std::optional<core::server_id> server;
    /// Any member, because the claim is of a group without such replicas.
    bool unrestricted = false;
};

/// The claims of all hosts were read from the store, and those found have been
/// reported as `primary_revoked`.
struct claims_read
{
    struct claim
    {
        core::group_id group;
        /// The primary that it replaces.
        core::server_id replaced;
        std::uint64_t token = 0;
    };
    /// When the read began.
    core::time_point began;
    /// The last claims of groups, or those of them that have changed.
    std::vector<claim> claims;
};

/// A member answered a status query as a replica that receives.
struct replica_answered
{
    core::group_id group;
    core::server_id server;
    /// When the query was begun.
    core::time_point began;
    core::log_position received;
};

/// Number of proxy hosts that share the connections of the members.
struct host_count_changed
{
    std::size_t live = 1;
};

/// How the connections of the members of one group are shared.
struct group_share
{
    /// Hosts that serve the sessions of the group.
    std::size_t owners = 1;
    /// Whether this host is one of them. If not, it uses one connection to a
    /// member at most, for callers that it cannot relay to an owner.
    bool owned = true;
    /// If not, whether it can relay new sessions to an owner. Idle sessions are
    /// then ended here, so that their callers connect again.
    bool relayed = false;
};

inline bool operator==(const group_share& a, const group_share& b)
{
    return a.owners == b.owners && a.owned == b.owned && a.relayed == b.relayed;
}

/// The shares of the groups that only some hosts serve.
struct group_shares_changed
{
    std::map<core::group_id, group_share> shares;
};

/// The host that holds the callers' connections of these relayed sessions has
/// been shutting down since then.
struct relayed_sessions_draining
{
    std::vector<session_number> sessions;
    core::time_point since;
};

/// The answer to `borrow_operations` of the same round.
struct operations_lent
{
    core::workspace_id workspace;
    std::uint64_t round = 0;
    std::uint32_t count = 0;
    /// If fewer than wanted were lent: time until there are more.
    std::chrono::milliseconds retry_after{0};
};

/// Periodic event that expires queued statements and overdue members.
struct timer_tick
{
};

struct shutdown_started
{
};

using event = std::variant<
    caller_started, caller_query, caller_disconnected, member_connected,
    member_answered, member_connection_lost, configuration_changed,
    members_changed, primary_confirmed, primary_revoked, primary_settled,
    claims_read, replica_answered, host_count_changed, group_shares_changed,
    relayed_sessions_draining, operations_lent, timer_tick, shutdown_started>;

struct accept_caller
{
    session_number session = 0;
};

/// The session is rejected; the connection is closed after the refusal.
struct refuse_caller
{
    session_number session = 0;
    failure reason;
};

struct reply_to_caller
{
    session_number session = 0;
    answer reply;
    /// Bytes of the session's values and prepared statements.
    std::size_t stored_bytes = 0;
};

struct close_caller
{
    session_number session = 0;
};

struct open_connection
{
    connection_number connection = 0;
    core::group_id group;
    core::server_id server;
    core::endpoint address;
    /// The workspace that the connection works for; empty if callers need no
    /// key.
    core::workspace_id workspace{};
};

/// Statements for the member to execute in order.
struct send_to_member
{
    connection_number connection = 0;
    std::vector<query> statements;
};

struct close_connection
{
    connection_number connection = 0;
};

/// Asks the lender of the workspace for operations of its quota.
struct borrow_operations
{
    core::workspace_id workspace;
    std::uint64_t round = 0;
    std::uint32_t wanted = 0;
};

/// Asks whether the primary of a group may have been replaced.
struct confirm_primary
{
    /// Another member of the group, for its status.
    registration ask;
    /// Whether to read the claims in the store as well.
    bool read_claims = false;
};

/// A log entry: a request that was refused or failed, or a change of the state
/// that this host assumes of a member or of its configuration.
struct decision_note
{
    /// Whether it concerns a caller's request; such lines are rate-limited.
    bool about_request = false;
    std::string message;
    core::request_id request;
    core::group_id group;
    core::server_id server;
    std::string detail;
    /// For a request: how often it was dispatched to a member, how long ago it
    /// arrived, and the age of the newest known position of the primary.
    unsigned attempts = 0;
    std::chrono::milliseconds held{0};
    std::optional<std::chrono::milliseconds> position_age;
};

/// A caller's statement completed or failed; feeds the metrics.
struct statement_ended
{
    core::rank importance = core::rank::deferred;
    bool succeeded = false;
    /// Name of the failure code; empty on success.
    std::string reason;
    std::chrono::nanoseconds took{0};
    std::chrono::nanoseconds waited{0};
};

using action = std::variant<accept_caller, refuse_caller, reply_to_caller,
                            close_caller, open_connection, send_to_member,
                            close_connection, borrow_operations,
                            confirm_primary, decision_note, statement_ended>;
using actions = std::vector<action>;

}  // namespace godwitbarrow::pooler
