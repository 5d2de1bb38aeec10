#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "godwitbarrow/admission/queue.hpp"
#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/pooler/configuration.hpp"
#include "godwitbarrow/pooler/events.hpp"
#include "godwitbarrow/pooler/statement.hpp"
#include "godwitbarrow/session/freshness.hpp"

/// What the pooler knows: sessions of callers, members and their connections.
namespace godwitbarrow::pooler
{

struct pooler_settings
{
    core::data_centre_id data_centre;
    /// A member gets this many statements at a time for each of its slots,
    /// over all hosts; the rest waits here, in order of rank.
    std::size_t statements_per_slot = 4;
    /// So many times more at members in other data centres, where statements
    /// spend most of their time on the way.
    std::size_t far_factor = 2;
    /// A primary that failed and has not answered for this long since is
    /// unreachable. It is then asked on a new connection before hosts vote.
    std::chrono::milliseconds unreachable_limit{400};
    /// A group without a primary is served by searching for this long.
    std::chrono::milliseconds search_limit{1200};
    /// Attempts to open connections to one member at a time. Each takes a slot
    /// of the member for longer than most statements do.
    std::size_t opening_at_once = 1;
    std::chrono::milliseconds open_timeout{1500};
    /// An idle connection is closed after this time, so that room is left at
    /// the member: after a loss of power it counts dead connections for 3 s.
    std::chrono::milliseconds idle_limit{2000};
    /// A statement waits for a member for its objective divided by this.
    int wait_divisor = 4;
    /// Events are at most a tick of 25 ms apart while statements wait or run.
    /// After a longer silence the host itself stood still, and times that
    /// began before say nothing about members.
    std::chrono::milliseconds stall_limit{150};
    /// Attempts to run one statement that no member has run yet.
    unsigned most_attempts = 6;
    /// Taken off the age of data that a route allows, for the time between the
    /// arrival of a read at this host and its start at the caller.
    std::chrono::milliseconds age_margin{100};
    /// A member that refused a statement as lagging is passed over.
    std::chrono::milliseconds lag_back_off{60};
    /// The pause doubles up to this with each further refusal.
    std::chrono::milliseconds longest_lag_back_off{240};
    /// A member that refused a statement as busy is passed over.
    std::chrono::milliseconds busy_back_off{15};
    /// Beginning a transaction takes no slot, so that a member that answers
    /// does so within a round trip.
    std::chrono::milliseconds begin_timeout{300};
    /// A member that denied to be the primary is not asked again.
    std::chrono::milliseconds refuted_back_off{120};
    std::chrono::milliseconds open_back_off{150};
    std::chrono::milliseconds longest_open_back_off{1000};
    /// A leaving primary that nobody replaced gets new statements for this
    /// long; others get none.
    std::chrono::milliseconds leaving_primary_limit{4000};
    /// Members whose connection broke or went silent are passed over.
    std::chrono::milliseconds failed_back_off{400};
    /// At a shutdown, callers that are idle for this long are disconnected.
    std::chrono::milliseconds shutdown_idle{50};
    /// Statements of one session that wait for an earlier one.
    std::size_t most_backlog = 16;
    /// Shapes of prepared statements whose names callers share.
    std::size_t most_shapes = 4096;
    /// At a shutdown, open transactions have this long to end.
    std::chrono::milliseconds shutdown_transactions{2500};
    /// Later than this, a shutdown leaves no time for a new statement.
    std::chrono::milliseconds shutdown_statements{4000};
};

struct prepared_statement
{
    std::string shape;
    bool writes = false;
    /// Name on the connections of members, the same for equal statements of
    /// all callers.
    std::string member_name;
};

enum class transaction_phase
{
    none,
    /// Answered by the proxy; nothing was sent to a member yet.
    announced,
    /// Holds a connection.
    open,
    failed
};

struct transaction
{
    transaction_phase phase = transaction_phase::none;
    bool read_only = false;
    /// Whether a write was sent.
    bool wrote = false;
    connection_number connection = 0;
    core::time_point began;
    /// Why it failed before the caller was told.
    std::string lost_reason;
};

/// The statement of a session that waits or runs.
struct pending_statement
{
    query request;
    core::time_point arrived;
    /// When the statement is given up.
    core::time_point deadline;
    /// When it was handed to a member.
    std::optional<core::time_point> sent;
    /// Whether only the primary may run it.
    bool primary_only = false;
    /// Whether it waits in a queue of its group.
    bool queued = false;
    /// Whether it counts as running in the queue it came from.
    bool holds_slot = false;
    connection_number connection = 0;
    unsigned attempts = 0;
    /// Members that refused it.
    std::set<core::server_id> excluded;
    /// The member was busy; send it again on the held connection.
    bool send_again = false;
};

struct caller_session
{
    std::string database;
    /// Of the current transaction, or of the last statement.
    route active_route;
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_statement> prepared;
    transaction tx;
    std::optional<pending_statement> current;
    std::deque<query> backlog;
    /// Positions of the last own commits.
    std::map<core::group_id, core::log_position> written;
    core::time_point idle_since;
    bool gone = false;
};

enum class connection_phase
{
    opening,
    idle,
    /// Carries a statement of `user`.
    busy,
    /// Reserved for the transaction of `user`, which is between statements.
    held,
    /// Returns to a clean state.
    cleaning
};

/// What an outstanding statement on a connection is for.
enum class purpose
{
    /// Sets values or prepares; its failure spoils the connection.
    setup,
    /// A plain transaction, which only a primary accepts.
    begin_plain,
    begin_read,
    caller,
    cleanup
};

struct backend_connection
{
    core::group_id group;
    core::server_id server;
    connection_phase phase = connection_phase::opening;
    core::time_point phase_since;
    session_number user = 0;
    std::map<std::string, std::string> values;
    std::set<std::string> prepared;
    std::deque<purpose> outstanding;
    core::time_point sent;
    /// A setup statement failed; the connection is closed after its use.
    bool spoiled = false;
};

struct member
{
    registration record;
    std::set<connection_number> connections;
    /// Statements of callers that it runs for this host.
    std::size_t running = 0;
    std::optional<core::time_point> open_after;
    unsigned failed_opens = 0;
    std::optional<core::time_point> lagging_until;
    /// The last pause after a refusal as lagging; zero after a success.
    std::chrono::milliseconds lag_pause{0};
    std::optional<core::time_point> busy_until;
    /// When this host learned that it is leaving.
    std::optional<core::time_point> leaving_since;
    /// When it denied to be the primary, and its registration then.
    std::optional<core::time_point> denied_at;
    std::uint64_t denied_version = 0;
    /// When the last statement on it timed out or its connection broke.
    std::optional<core::time_point> failed_at;
    std::optional<core::time_point> answered_at;
};

struct group
{
    group_settings settings;
    std::map<core::server_id, member> members;
    /// The member that last proved to be the primary, else the one that
    /// registered as such last.
    std::optional<core::server_id> primary;
    /// Since when no member is believed to be the primary.
    std::optional<core::time_point> without_primary;
    /// Positions of the primary, to prove the age of replicas.
    session::primary_history history;
    /// Statements for the primary only, and those that a replica may run.
    admission::queue_state primary_queue;
    admission::queue_state read_queue;
};

struct state
{
    pooler_settings settings;
    configuration active_configuration;
    std::size_t live_hosts = 1;
    std::map<core::group_id, group> groups;
    std::unordered_map<session_number, caller_session> sessions;
    std::unordered_map<connection_number, backend_connection> connections;
    connection_number last_connection = 0;
    /// Names of prepared statements on members, by access and shape. Callers
    /// choose the shapes, so their number is bounded; those beyond the bound
    /// get names of their own.
    std::map<std::string, std::string> shapes;
    std::uint64_t last_shape = 0;
    /// Sessions with a current statement.
    std::set<session_number> active_sessions;
    core::time_point last_event{};
    /// When this host last stood still.
    core::time_point stalled_at{};
    std::optional<core::time_point> shutdown_since;
};

}  // namespace godwitbarrow::pooler
