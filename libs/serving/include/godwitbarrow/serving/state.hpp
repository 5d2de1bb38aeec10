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

/// What one host knows and does about one database group.
namespace godwitbarrow::serving
{

struct server_settings
{
    core::server_id server;
    std::size_t slots = 2;
    /// Limit of the backend server over all proxies.
    std::size_t connections = 15;
};

struct group_settings
{
    core::group_id group;
    /// This host; the first part of its transaction ids.
    core::host_id self;
    std::vector<server_settings> servers;
    admission::queue_settings queue;
    admission::pool_settings pool;
    admission::retry_settings retry;
    std::chrono::milliseconds transaction_idle_limit{std::chrono::seconds(10)};
    /// How long a read waits for a replica to catch up before it is sent to
    /// another member; about the cost of a round trip to another region.
    std::chrono::milliseconds replica_hold{30};
    /// How long a request waits for the primary of a new term.
    std::chrono::milliseconds view_hold{std::chrono::seconds(11)};
    /// Time for one attempt of a repeatable request; at least four times the
    /// average service time is allowed.
    std::chrono::milliseconds attempt_timeout{500};
};

struct member_state
{
    /// Whether a status request was answered or missed since the start.
    bool known = false;
    bool leaving = false;
    /// Whether the last status request was answered.
    bool reachable = false;
    std::optional<core::member_status> status;
    core::time_point requested_at;
    /// Data of the member in the current term is fresh as of this time.
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
    /// Waits until the member or the view allows it.
    held,
    /// Waits for a slot and a connection.
    queued,
    /// Waits for the end of its back-off.
    backing_off,
    /// Sent; no reply yet.
    running,
    /// Executed; waits for a majority of the members.
    confirming
};

/// A request from its arrival to its answer.
struct tracked_request
{
    core::request request;
    core::server_id server;
    request_phase phase = request_phase::held;
    core::time_point arrived;
    /// When a tick has to look at it next.
    core::time_point due;
    /// A byte was handed to a server that has not said "not run" since.
    bool possibly_ran = false;
    bool caller_gone = false;
    /// Started by this host to roll back a transaction; nobody is answered.
    bool internal = false;
    unsigned attempts = 0;
    /// A server refused the view's term; the request waits for a newer view,
    /// or until then.
    std::optional<core::time_point> blocked_until;

    // While running.
    dispatch_number dispatch = 0;
    connection_number connection = 0;
    core::term_number sent_term = 0;
    core::time_point sent_at;
    core::time_point reply_by;
    /// What was known of the age of the member's data when it was sent.
    std::optional<core::time_point> fresh_at_send;

    // While confirming.
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
    /// Servers that this host owns or still has work for.
    std::map<core::server_id, server_state> servers;
    std::map<core::request_id, tracked_request> requests;
    /// Requests by the time when a tick has to look at them.
    std::set<std::pair<core::time_point, core::request_id>> timers;
    std::map<dispatch_number, core::request_id> dispatches;
    std::set<core::request_id> held;
    /// Writes that wait for a majority, by their position.
    std::set<std::pair<core::log_position, core::request_id>> confirming;
    std::map<core::transaction_id, transaction_state> transactions;
    /// Transactions whose commit was sent, oldest first. A repeated commit
    /// must not be told "not run".
    std::deque<core::transaction_id> ended;
    session::primary_history history;
    admission::retry_budget budget;
    /// Moving average of the time from a write's reply to its majority.
    core::duration confirmation_delay{};
    dispatch_number next_dispatch = 1;
    connection_number next_connection = 1;
    std::uint64_t random = 0;
};

/// A state without knowledge of the members. `seed` must differ between the
/// runs of a process: it makes transaction ids of an earlier run unknown, and
/// it drives the jitter of the back-off.
group_state make_group_state(const group_settings& settings,
                             std::uint64_t seed);

/// Replaces the settings; members and limits follow, work in progress stays.
void apply_settings(group_state& state, const group_settings& settings);

}  // namespace godwitbarrow::serving
