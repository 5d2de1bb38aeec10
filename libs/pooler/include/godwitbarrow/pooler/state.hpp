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
#include "godwitbarrow/routing/load.hpp"
#include "godwitbarrow/session/freshness.hpp"

/// State of the pooler: caller sessions, members and member connections.
namespace godwitbarrow::pooler
{

struct pooler_settings
{
    core::host_id host;
    core::data_centre_id data_centre;
    /// Statements in flight to a member per slot, summed over all hosts.
    /// Further statements wait in the queue of the host, ordered by rank.
    std::size_t statements_per_slot = 4;
    /// Multiplies `statements_per_slot` for members in other data centres,
    /// where most of the time of a statement is network latency.
    std::size_t remote_factor = 2;
    /// A primary that failed and has not answered for this long since is
    /// unreachable. It is then queried on a new connection before hosts vote.
    std::chrono::milliseconds unreachable_limit{400};
    /// While a group has no known primary, members are probed for one for this
    /// long before the primary counts as unreachable.
    std::chrono::milliseconds search_limit{1200};
    /// Assumed for the network to a member that cannot be measured, beyond the
    /// time to the nearest one. About a round trip between regions.
    std::chrono::milliseconds unknown_network_time{25};
    /// How reads are spread over members by their expected time.
    routing::load_settings load;
    /// Concurrent connection attempts to one member. Each occupies a slot of
    /// the member for longer than most statements do.
    std::size_t max_concurrent_opens = 1;
    std::chrono::milliseconds open_timeout{1500};
    /// An idle connection is closed after this time to keep connection slots of
    /// the member free: after a power loss of a host the member still counts
    /// the dead connections for 3 s.
    std::chrono::milliseconds idle_limit{2000};
    /// A statement is queued for at most its objective divided by this.
    int queue_wait_divisor = 4;
    /// While statements wait or run, a timer tick follows every 25 ms. A longer
    /// gap between events means that the host itself was stalled; durations
    /// that started before the stall are not attributed to members.
    std::chrono::milliseconds stall_limit{150};
    /// Whether the quotas of workspaces are in force.
    bool limits_workspaces = false;
    /// A lender that has not answered for this long is asked once more. What it
    /// lends ends not much later.
    std::chrono::milliseconds lender_timeout{300};
    /// A statement waits this long for an operation of the quota.
    std::chrono::milliseconds quota_wait{600};
    /// Maximum number of dispatches of a statement that no member has executed.
    unsigned max_attempts = 6;
    /// Subtracted from the data age that a route allows, to account for the
    /// time between the start of a read at the caller and its arrival at this
    /// host.
    std::chrono::milliseconds age_margin{100};
    /// Initial time for which a member is skipped after it refused a statement
    /// as lagging.
    std::chrono::milliseconds lag_back_off{60};
    /// The back-off doubles up to this limit with each further refusal.
    std::chrono::milliseconds max_lag_back_off{240};
    /// Time for which a member is skipped after it refused a statement as busy.
    std::chrono::milliseconds busy_back_off{15};
    /// BEGIN occupies no slot, so a responsive member answers within one round
    /// trip.
    std::chrono::milliseconds begin_timeout{300};
    /// Time for which a member that denied being the primary is not probed
    /// again.
    std::chrono::milliseconds not_primary_back_off{120};
    std::chrono::milliseconds open_back_off{150};
    std::chrono::milliseconds max_open_back_off{1000};
    /// A leaving primary without a successor receives new statements for this
    /// long; other leaving members receive none.
    std::chrono::milliseconds leaving_primary_limit{4000};
    /// A revoked primary without a successor may be used again after this time,
    /// since the host that claimed to replace it has failed.
    std::chrono::milliseconds revocation_limit{4000};
    /// A commit that a revoked primary acknowledges this long after the
    /// revocation may follow the promotion of its successor and be lost.
    std::chrono::milliseconds revoked_commit_limit{200};
    /// Where a replaced primary leads on: how long this host may use a primary
    /// after the last evidence that it was not replaced. Shorter than a
    /// takeover takes from the loss of the primary to the promotion.
    std::optional<std::chrono::milliseconds> evidence_limit;
    /// Minimum interval of questions for such evidence.
    std::chrono::milliseconds evidence_interval{200};
    /// Time for which a member is skipped after its connection was lost or
    /// stopped responding.
    std::chrono::milliseconds failed_back_off{400};
    /// During shutdown, callers that are idle for this long are disconnected,
    /// as are those whose group has other owners.
    std::chrono::milliseconds shutdown_idle{50};
    /// The host that holds the connection of a relayed session disconnects the
    /// caller itself once it is idle, since it sees whether a statement is on
    /// its way. Sessions that are idle for longer are ended here.
    std::chrono::milliseconds relayed_shutdown_idle{1000};
    /// Maximum number of statements of one session that wait for an earlier
    /// one.
    std::size_t max_backlog = 16;
    /// Maximum size of the values and prepared statements of one session. A
    /// member connection that changes users is sent all of them at once.
    std::size_t max_stored_bytes = std::size_t{2} * 1024 * 1024;
    /// Longer shapes get member names that are not shared.
    std::size_t max_shared_shape_bytes = 1024;
    /// Maximum number of prepared statement shapes whose member names are
    /// shared among callers.
    std::size_t max_shared_shapes = 4096;
    /// During shutdown, open transactions have this long to end.
    std::chrono::milliseconds shutdown_transactions{2500};
    /// Until the balancer has noticed the shutdown, it sends new callers, whose
    /// statements are accepted.
    std::chrono::milliseconds shutdown_notice{2300};
    /// Statements end this long after the start of a shutdown at the latest, so
    /// that they are answered before the process exits. After
    /// `shutdown_notice`, a statement that its route allows to take longer is
    /// refused.
    std::chrono::milliseconds shutdown_limit{5300};
    /// Once a shutdown has lasted this long, new statements are refused and
    /// their callers are disconnected at once.
    std::chrono::milliseconds shutdown_statements{4000};
};

struct prepared_statement
{
    std::string shape;
    bool writes = false;
    /// Name on member connections, shared by equal statements of all callers.
    std::string member_name;
};

enum class transaction_phase
{
    none,
    /// BEGIN was answered by the proxy; nothing was sent to a member yet.
    deferred,
    /// Pinned to a member connection.
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
    /// Reason of a failure that has not been reported to the caller yet.
    std::string unreported_reason;
};

/// The current statement of a session, queued or running.
struct pending_statement
{
    query request;
    core::time_point arrived;
    /// Time at which the statement times out.
    core::time_point deadline;
    /// Time at which it was sent to a member.
    std::optional<core::time_point> sent;
    /// Whether only the primary may execute it.
    bool primary_only = false;
    /// Whether it waits for an operation of the quota of its workspace.
    bool awaits_quota = false;
    /// Whether it is in a queue of its group.
    bool queued = false;
    /// Whether it occupies a slot of the queue that it was taken from.
    bool holds_slot = false;
    connection_number connection = 0;
    unsigned attempts = 0;
    /// Members that refused it and are not tried again.
    std::set<core::server_id> excluded;
    /// The member was busy; the statement is retried on the held connection.
    bool retry_on_held = false;
};

struct caller_session
{
    std::string database;
    std::optional<workspaces::key_hash> key;
    /// The workspace that the session works for, as of its last statement.
    core::workspace_id workspace;
    /// Route of the current transaction, or of the last statement.
    route active_route;
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_statement> prepared;
    /// Bytes of `values` and `prepared`.
    std::size_t stored_bytes = 0;
    transaction tx;
    std::optional<pending_statement> current;
    std::deque<query> backlog;
    /// Log position of the last commit of this session in each group.
    std::map<core::group_id, core::log_position> written;
    core::time_point idle_since;
    bool disconnected = false;
    /// Another host holds the connection of the caller.
    bool relayed = false;
    /// Since when that host has been shutting down.
    std::optional<core::time_point> draining_since;
};

enum class connection_phase
{
    opening,
    idle,
    /// Executes a statement of the session `user`.
    busy,
    /// Reserved for the open transaction of the session `user`, between
    /// statements.
    held,
    /// Waits for the answers to cleanup statements.
    cleaning
};

/// Purpose of an outstanding statement on a connection.
enum class purpose
{
    /// Clears or sets values.
    set_values,
    prepare,
    /// Begins a read-write transaction, which only a primary accepts.
    begin_read_write,
    begin_read,
    caller,
    cleanup
};

struct backend_connection
{
    core::group_id group;
    core::server_id server;
    /// A connection works for one workspace, whose name the member was told.
    core::workspace_id workspace;
    connection_phase phase = connection_phase::opening;
    core::time_point phase_since;
    session_number user = 0;
    std::map<std::string, std::string> values;
    std::set<std::string> prepared;
    std::deque<purpose> outstanding;
    core::time_point sent;
    /// The caller's statement, if it waits for the answers to the setup. A
    /// member that refused a part of the setup would run the statement with the
    /// values of another session.
    std::optional<query> after_setup;
    /// A statement of the last setup failed. The connection is closed after its
    /// current use, unless the setup was repeated.
    std::optional<failure> setup_failure;
};

struct member
{
    registration record;
    std::set<connection_number> connections;
    /// Statements of callers that it is executing for this host.
    std::size_t running = 0;
    std::optional<core::time_point> reopen_after;
    unsigned failed_opens = 0;
    /// From the outcome of the statements that this host sent to it.
    routing::load_estimate load;
    /// Least time that a connection to it took; absent if none was opened.
    std::optional<core::duration> fastest_open;
    /// Orders equally near members differently on each host.
    std::uint64_t preference = 0;
    std::optional<core::time_point> lagging_until;
    /// Last back-off after a refusal as lagging; zero after a success.
    std::chrono::milliseconds last_lag_back_off{0};
    std::optional<core::time_point> busy_until;
    /// Time at which this host learned that the member is leaving.
    std::optional<core::time_point> leaving_since;
    /// Time at which it denied being the primary, and the version of its
    /// registration at that time.
    std::optional<core::time_point> denied_at;
    record_version denied_version;
    /// Time at which the last statement on it timed out or its connection was
    /// lost.
    std::optional<core::time_point> failed_at;
    std::optional<core::time_point> answered_at;
    /// Begin of the last exchange in which it reported its log position, and
    /// the highest term of a position that it reported.
    std::optional<core::time_point> heard_at;
    core::term_number shown_term = 0;
    /// When it was last asked whether the primary may have been replaced.
    std::optional<core::time_point> asked_at;
};

/// A primary that a host has claimed to replace.
struct revocation
{
    core::server_id server;
    core::time_point since;
    core::time_point renewed_at;
    /// Version of its registration when it was revoked.
    record_version version;
    /// Whether another member has become the primary.
    bool replaced = false;
};

/// The only member that may be used as the primary, as of a claim.
struct settlement
{
    std::uint64_t token = 0;
    /// None while the claim is not settled.
    std::optional<core::server_id> server;
    /// Whether any member may be used.
    bool unrestricted = false;
    core::time_point since;
};

struct group
{
    group_settings settings;
    /// Absent if all hosts serve the group.
    std::optional<group_share> share;
    std::map<core::server_id, member> members;
    /// The member last confirmed as the primary, or else the one that last
    /// registered as the primary.
    std::optional<core::server_id> primary;
    std::optional<revocation> revoked;
    /// Absent if the group has no claim that needs it.
    std::optional<settlement> settled;
    /// Begin of the last read of the claims of all hosts.
    std::optional<core::time_point> claims_read_at;
    /// The primary that the last of them replaces, and its token.
    core::server_id claimed;
    std::uint64_t claim_token = 0;
    /// When evidence that the primary still leads was last asked for.
    std::optional<core::time_point> evidence_asked_at;
    /// Whether the evidence has expired and a question was not answered.
    bool evidence_expired = false;
    /// Time since which no member is assumed to be the primary.
    std::optional<core::time_point> no_primary_since;
    /// Sampled log positions of the primary, used to bound the staleness of
    /// replicas.
    session::primary_history history;
    /// Queues of statements for the primary only, and of reads that a replica
    /// may run.
    admission::queue_state primary_queue;
    admission::queue_state read_queue;
};

/// Operations that this host borrows of the quota of one workspace.
struct borrowing
{
    /// Sessions whose statement waits for an operation, in order of arrival.
    std::deque<session_number> waiting;
    /// Time and number of the request that is not answered yet.
    std::optional<core::time_point> asked;
    std::uint64_t round = 0;
    std::uint32_t wanted = 0;
    /// The lender has no more operations until then.
    core::time_point exhausted_until{};
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
    std::map<core::workspace_id, borrowing> borrowings;
    /// Names of prepared statements on members, keyed by access mode and shape.
    /// Callers choose the shapes, so their number is bounded; a statement
    /// beyond the bound gets a name that is not shared.
    std::map<std::string, std::string> shapes;
    std::uint64_t last_shape = 0;
    /// Sessions that have a current statement.
    std::set<session_number> active_sessions;
    /// Relayed sessions of hosts that are shutting down.
    std::set<session_number> draining_sessions;
    core::time_point last_event{};
    /// Time at which a stall of this host was last detected.
    core::time_point stalled_at{};
    std::optional<core::time_point> shutdown_since;
};

}  // namespace godwitbarrow::pooler
