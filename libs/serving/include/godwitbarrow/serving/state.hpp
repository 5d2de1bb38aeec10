#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "godwitbarrow/admission/pool.hpp"
#include "godwitbarrow/admission/queue.hpp"
#include "godwitbarrow/admission/retry.hpp"
#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/position.hpp"
#include "godwitbarrow/core/request.hpp"
#include "godwitbarrow/serving/events.hpp"
#include "godwitbarrow/session/freshness.hpp"

/// State that one host keeps for one database group.
namespace godwitbarrow::serving
{

struct server_settings
{
    core::server_id server;
    std::size_t slots = 2;
    /// Connection limit of the backend server, shared by all proxies.
    std::size_t connections = 15;
};

struct group_settings
{
    core::group_id group;
    /// Name of this host; the prefix of the transaction ids that it issues.
    core::host_id self;
    std::vector<server_settings> servers;
    admission::queue_settings queue;
    admission::pool_settings pool;
    admission::retry_settings retry;
    std::chrono::milliseconds transaction_idle_limit{std::chrono::seconds(10)};
    /// How long a read waits for a replica to catch up before it is redirected
    /// to another member; about one round trip to another region.
    std::chrono::milliseconds catch_up_limit{30};
    /// How long a request waits for the primary of a new term to be known.
    std::chrono::milliseconds primary_wait_limit{std::chrono::seconds(11)};
    /// Time limit for one attempt of a repeatable request. The limit is raised
    /// to four times the average service time if that is longer.
    std::chrono::milliseconds attempt_timeout{500};
};

struct member_state
{
    /// Whether a status request has been answered or has timed out since
    /// start-up.
    bool polled = false;
    bool leaving = false;
    /// Whether the last status request was answered.
    bool reachable = false;
    std::optional<core::member_status> status;
    core::time_point requested_at;
    /// The member's data in the current term is fresh as of this time.
    std::optional<core::time_point> fresh_as_of;
};

/// The queue and the connections of one backend server.
struct server_state
{
    bool owned = false;
    admission::queue_state queue;
    admission::pool_state pool;
};

enum class request_phase
{
    /// Waiting for the state of the member or of the view to allow it.
    held,
    /// Waiting for a slot and a connection.
    queued,
    /// Waiting for the end of its back-off.
    backing_off,
    /// Sent; no reply received yet.
    running,
    /// Executed; waiting until a majority of the members hold the write.
    confirming
};

/// A request from its arrival to its answer.
struct tracked_request
{
    core::request request;
    core::server_id server;
    request_phase phase = request_phase::held;
    core::time_point arrived;
    /// When a tick must process the request next.
    core::time_point due;
    /// At least one byte was sent to a server that has not reported "not run"
    /// since.
    bool possibly_ran = false;
    bool caller_gone = false;
    /// Started by this host to roll back a transaction; no answer is sent.
    bool internal = false;
    unsigned attempts = 0;
    /// Set when a server rejected the term of the view: the request waits for a
    /// newer view, at most until this time.
    std::optional<core::time_point> blocked_until;

    // Valid in phase `running`.
    dispatch_number dispatch = 0;
    connection_number connection = 0;
    core::term_number sent_term = 0;
    core::time_point sent_at;
    core::time_point reply_by;
    /// `fresh_as_of` of the member when the statement was sent.
    std::optional<core::time_point> fresh_at_send;

    // Valid in phase `confirming`.
    core::backend_reply reply;
    core::time_point replied_at;
};

struct transaction_state
{
    core::server_id server;
    connection_number connection = 0;
    core::term_number term = 0;
    core::rank importance = core::rank::deferred;
    /// Set while a statement of the transaction is queued or running.
    std::optional<core::request_id> active;
    core::time_point idle_since;
};

struct group_view
{
    core::term_number term = 0;
    std::optional<core::server_id> primary;
};

struct group_state
{
    group_settings settings;
    group_view view;
    std::map<core::server_id, member_state> members;
    /// Servers that this host owns or still has requests or connections for.
    std::map<core::server_id, server_state> servers;
    std::map<core::request_id, tracked_request> requests;
    /// Requests ordered by the time at which a tick must process them.
    std::set<std::pair<core::time_point, core::request_id>> timers;
    std::map<dispatch_number, core::request_id> dispatches;
    std::set<core::request_id> held;
    /// Writes waiting for a majority, ordered by log position.
    std::set<std::pair<core::log_position, core::request_id>> confirming;
    std::map<core::transaction_id, transaction_state> transactions;
    /// Transactions whose commit was sent, oldest first. A repeated commit must
    /// not be answered with "not run".
    std::deque<core::transaction_id> ended_transactions;
    /// Highest transaction number evicted from `ended_transactions`.
    std::uint64_t highest_dropped_transaction = 0;
    /// The upper 32 bits differ between runs of the process, so that an id
    /// issued by an earlier run never matches a transaction of this run.
    std::uint64_t next_transaction = 0;
    session::primary_history history;
    admission::retry_budget budget;
    /// Moving average of the time between the reply to a write and its
    /// confirmation by a majority.
    core::duration confirmation_delay{};
    dispatch_number next_dispatch = 1;
    connection_number next_connection = 1;
    std::uint64_t random = 0;
};

/// Creates a state in which nothing is known about the members yet. `seed` must
/// differ between runs of the process: it makes the transaction ids of an
/// earlier run invalid, and it drives the jitter of the back-off.
group_state make_group_state(const group_settings& settings,
                             std::uint64_t seed);

/// Replaces the settings and updates members and limits to match. Requests in
/// progress are kept.
void apply_settings(group_state& state, const group_settings& settings);

}  // namespace godwitbarrow::serving
