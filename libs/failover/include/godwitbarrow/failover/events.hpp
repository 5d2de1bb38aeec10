#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/core/position.hpp"

/// Inputs (events) and outputs (actions) of the failover decisions for one
/// group.
namespace godwitbarrow::failover
{

/// Group row in the platform's table service.
struct group_row
{
    core::term_number term = 0;
    /// Empty from the claim of the term until the promotion is published.
    std::optional<core::server_id> primary;
    core::attempt_id attempt;
};

/// Group row and the version that a conditional write must specify. Version 0
/// means that the row does not exist.
struct versioned_row
{
    group_row row;
    std::uint64_t version = 0;
};

// Events.

/// A status poll was sent; the member may hold it for up to `wait` before it
/// answers. Without this event, `timing::max_poll_wait` is assumed.
struct status_requested
{
    core::server_id server;
    std::chrono::milliseconds wait{0};
};

struct status_received
{
    core::server_id server;
    core::member_status status;
    core::time_point requested_at;
};

/// A status poll failed or was not answered before its deadline.
struct status_missed
{
    core::server_id server;
};

/// A new connection on the data path of this or another host failed.
struct suspicion_reported
{
    core::server_id server;
    core::host_id reporter;
};

/// Whether a host reached a server on a new connection. An accepted connection
/// counts as reached even if the status arrives late. For a replica, `status`
/// tells whether it has contact with the primary.
struct observation_received
{
    std::uint64_t round = 0;
    core::host_id observer;
    core::server_id server;
    bool reachable = false;
    std::optional<core::member_status> status;
};

struct row_read
{
    core::result<versioned_row> row;
};

/// Version of the row after the write, or `conflict` if another writer changed
/// the row first. After any other error it is unknown whether the write took
/// effect.
struct row_written
{
    core::result<std::uint64_t> version;
};

/// Response of a member to `fence_member`.
struct fence_answered
{
    core::server_id server;
    core::result<core::member_status> status;
};

/// Response of a member to `promote_member`; `position` is its base position.
struct promote_answered
{
    core::server_id server;
    core::result<core::member_status> status;
};

struct view_learned
{
    core::term_number term = 0;
    std::optional<core::server_id> primary;
};

struct server_leaving
{
    core::server_id server;
    bool leaving = true;
};

/// Whether this host coordinates the group, and the live hosts that may act as
/// observers, in order of preference and without this host. `observers` is
/// empty only if this host is the only one in the host list; hosts that do not
/// answer stay in `observers`.
struct role_changed
{
    bool coordinator = false;
    std::vector<core::host_id> observers;
};

struct tick
{
};

using event =
    std::variant<status_received, status_missed, suspicion_reported,
                 observation_received, row_read, row_written, fence_answered,
                 promote_answered, view_learned, server_leaving, role_changed,
                 tick, status_requested>;

// Actions.

/// Reads the group row. Each `read_row` is answered by exactly one `row_read`,
/// and each `write_row` by exactly one `row_written`. At most one of the two is
/// outstanding for a group.
struct read_row
{
};

struct write_row
{
    group_row row;
    std::uint64_t expected_version = 0;
};

/// Asks hosts to try the server on a new connection; this host tries as well.
struct ask_observers
{
    std::uint64_t round = 0;
    core::server_id server;
    std::vector<core::host_id> observers;
};

struct fence_member
{
    core::server_id server;
    core::term_number term = 0;
    core::attempt_id attempt;
};

struct promote_member
{
    core::server_id server;
    core::term_number term = 0;
    core::attempt_id attempt;
};

struct follow_primary
{
    core::server_id server;
    core::term_number term = 0;
    core::server_id primary;
};

/// Publishes the primary of a term to this host and its peers.
struct publish_view
{
    core::term_number term = 0;
    std::optional<core::server_id> primary;
};

/// Reports a suspected primary to the coordinator; this host is not the
/// coordinator.
struct report_to_coordinator
{
    core::server_id server;
};

/// Progress of an attempt, for the log and the metrics.
struct report_progress
{
    enum class step
    {
        suspected,
        cleared,
        confirmed,
        claimed,
        waiting_for_store,
        fenced,
        chosen,
        promoted,
        published,
        abandoned
    };
    step reached = step::suspected;
    core::term_number term = 0;
    std::string detail;
};

using action = std::variant<read_row, write_row, ask_observers, fence_member,
                            promote_member, follow_primary, publish_view,
                            report_to_coordinator, report_progress>;

}  // namespace godwitbarrow::failover
