#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/core/position.hpp"
#include "godwitbarrow/takeover/row.hpp"

/// Failover of the primary of one group: confirms that the primary is
/// unreachable, reaches agreement with the other hosts through rows in the
/// store, and requests the promotion of the replica with the highest log
/// position. The state machine performs no I/O: it takes events and returns
/// actions.
namespace godwitbarrow::takeover
{

struct takeover_settings
{
    core::host_id self;
    /// How long a claim by another host excludes a claim by this one.
    std::chrono::milliseconds claim_ttl{3000};
    /// How long a vote remains valid after its last renewal.
    std::chrono::milliseconds vote_ttl{1500};
    std::chrono::milliseconds vote_renewal_interval{600};
    /// Estimated downtime that a promotion causes on each host. A primary that
    /// half of the hosts cannot reach is replaced once the average downtime
    /// over all hosts exceeds this value.
    std::chrono::milliseconds promotion_cost{500};
    /// How long a host must have suspected the primary before it may claim
    /// without the votes of other hosts, which may be missing because those
    /// hosts have no callers of the group. Most hosts may still reach the
    /// primary, and a promotion loses the commits that no replica received, so
    /// the delay is as long as the limit of 11 s for replacing a primary
    /// allows.
    std::chrono::milliseconds solo_claim_delay{8000};
    std::chrono::milliseconds answer_timeout{400};
    /// How long rows that were read count as what the store holds. A host that
    /// was frozen meanwhile may have missed the claim of another.
    std::chrono::milliseconds rows_limit{1500};
    std::chrono::milliseconds retry_delay{200};
    /// Delay after a promotion before the next takeover may start.
    std::chrono::milliseconds promotion_settle_time{2000};
    /// How long the request for a promotion may remain unanswered.
    std::chrono::milliseconds promotion_timeout{1000};
    /// How long an unanswered order is awaited where the platform checks no
    /// tokens. It may take effect later all the same.
    std::chrono::milliseconds late_order_limit{7000};
    /// Whether the platform rejects an order with a lower token than one that
    /// it has seen. Only such a token makes an unanswered order void.
    bool checks_tokens = true;
    /// Whether the old primary is revoked before a promotion is ordered. Needed
    /// where it leads on after the promotion until it is told to step down.
    bool revoke_before_promotion = false;
    /// How long a promotion waits for the hosts to see the claim if the old
    /// primary does not confirm that it has stepped down.
    std::chrono::milliseconds revocation_delay{300};
    /// The same for a primary that was not lost before the claim. Hosts that
    /// are cut off together with it stop using it within this time.
    std::chrono::milliseconds unconfirmed_delay{1000};
    /// Interval of the requests to step down that were not confirmed.
    std::chrono::milliseconds step_down_interval{200};
    /// Hosts end the pauses of a claim whose holder has failed at different
    /// times within this interval.
    std::chrono::milliseconds resume_spread{2000};
    /// Number of attempts at the same promotion that may remain unanswered.
    unsigned max_promotion_attempts = 4;
    /// Number of consecutive status queries that the old primary of a group
    /// with synchronous replicas may leave unanswered before it is replaced
    /// without its log position.
    unsigned max_primary_queries = 3;
};

/// Number of fencing tokens that claims of one era of the store may use. The
/// tokens of a later era are above all of these.
constexpr std::uint64_t tokens_per_era = std::uint64_t{1} << 44;

/// State of the group as observed by this host.
struct group_view
{
    std::optional<core::server_id> primary;
    /// The primary does not answer, or the group has none.
    bool unreachable = false;
    /// Time since the last answer of the primary, if it is unreachable.
    std::chrono::milliseconds unreachable_for{0};
    /// The primary is about to leave and should be replaced beforehand.
    bool leaving = false;
    /// All other members that may be promoted.
    std::vector<core::server_id> candidates;
    /// Members that are leaving and may not be promoted.
    std::vector<core::server_id> leaving_members;
    std::size_t live_hosts = 1;
    /// Number of replicas that must receive a commit before it is acknowledged.
    std::size_t synchronous_replicas = 0;
    /// Highest term in the log positions that this host has seen.
    core::term_number newest_term = 0;
    /// Newest era of the store that this host has seen. It rises when the store
    /// is restored from a copy, which may lack the last claims and votes.
    std::uint64_t store_era = 0;
};

/// Answer of a member to a status query.
struct member_report
{
    core::member_role role = core::member_role::replica;
    core::term_number newest_term = 0;
    core::log_position received;
    /// Term at which it stopped receiving from the primary; 0 if it receives.
    core::term_number paused_at = 0;
};

struct group_view_updated
{
    group_view view;
};

/// Result of reading the rows of the group from the store.
struct rows_read
{
    /// Absent if no claim has been made yet.
    std::optional<claim> last_claim;
    /// Version of the claim row; 0 if the row does not exist.
    std::uint64_t version = 0;
    std::map<core::host_id, vote> votes;
    std::chrono::milliseconds store_time{0};
    /// Era of the store when the claim was read.
    std::uint64_t era = 0;
};

enum class write_result
{
    done,
    conflict,
    unknown
};

struct row_written
{
    write_result result = write_result::unknown;
    std::uint64_t version = 0;
    /// Era of the store when it was written.
    std::uint64_t era = 0;
};

/// The claim row of the group was read or changed.
struct claim_observed
{
    claim row;
    std::uint64_t version = 0;
    /// Time since the claim was made.
    std::chrono::milliseconds age{0};
    /// Era of the store when the row was read.
    std::uint64_t era = 0;
};

struct store_failed
{
};

struct member_answered
{
    core::server_id server;
    /// Absent if the member did not answer or could not be queried.
    std::optional<member_report> report;
};

enum class order_result
{
    accepted,
    refused,
    unknown
};

struct promotion_answered
{
    order_result result = order_result::unknown;
};

struct time_passed
{
};

using event = std::variant<group_view_updated, rows_read, row_written,
                           claim_observed, store_failed, member_answered,
                           promotion_answered, time_passed>;

struct read_rows
{
};

struct write_claim
{
    claim row;
    /// Row version that the write is conditional on; 0 if the row must not
    /// exist.
    std::uint64_t expected_version = 0;
};

/// Writes which member the claim has made or kept the primary. The result is of
/// no use: it is written again with the next change of the row.
struct settle_claim
{
    claim row;
    std::uint64_t expected_version = 0;
};

/// Writes the claim row without its mark that replicas are paused. The result
/// is of no use: the row is observed again if it was not written.
struct clear_pauses
{
    claim row;
    std::uint64_t expected_version = 0;
};

/// Writes the vote of this host unconditionally.
struct write_vote
{
    vote row;
};

struct ask_member
{
    core::server_id server;
    /// If set, the replica first stops receiving at this term.
    std::optional<core::term_number> pause_replication_at;
    /// If set, a primary of a lower term first becomes a replica.
    std::optional<core::term_number> step_down_at;
    /// Whether a replica that was paused first receives again.
    bool resume_replication = false;
};

struct order_promotion
{
    core::server_id server;
    std::uint64_t token = 0;
};

/// The host must no longer use the member as the primary.
struct revoke_primary
{
    core::server_id server;
    std::uint64_t token = 0;
};

/// Which member may be used as the primary as of a claim. In a group with
/// synchronous replicas none until the claim is settled, since orders under it
/// and under earlier claims may still take effect.
struct use_primary
{
    std::uint64_t token = 0;
    std::optional<core::server_id> server;
    /// Any member, because no replica acknowledges commits of the group.
    bool unrestricted = false;
};

/// The member is the primary or is being promoted.
struct primary_known
{
    core::server_id server;
    /// False if the member was the primary before and has kept its role.
    bool promoted = false;
};

struct failover_step
{
    std::string name;
    core::server_id server;
    std::string detail;
};

using action =
    std::variant<read_rows, write_claim, settle_claim, clear_pauses, write_vote,
                 ask_member, order_promotion, revoke_primary, use_primary,
                 primary_known, failover_step>;
using actions = std::vector<action>;

enum class phase
{
    idle,
    /// Queries the suspected primary.
    confirming,
    reading,
    voting,
    claiming,
    /// Waits for the hosts to stop writing to the old primary, then queries its
    /// log position. Only in groups with synchronous replicas.
    fencing,
    /// Queries the replicas to compare their log positions.
    querying,
    /// Waits for the old primary to step down, or for the hosts to see the
    /// claim.
    revoking,
    /// Waits for the hosts to see a claim that keeps the primary.
    keeping,
    promoting,
    /// Waits before the next attempt, or for a promotion to take effect.
    pausing
};

/// A claim for which replicas may still be paused.
struct pausing_claim
{
    claim row;
    std::uint64_t version = 0;
    /// When it was made, on the clock of this host.
    core::time_point made_at;
    /// Whether this host ends the pauses of its holder.
    bool adopted = false;
};

struct takeover_state
{
    phase current_phase = phase::idle;
    core::time_point phase_entered_at;
    /// Duration of the phase `pausing`.
    std::chrono::milliseconds pause_duration{0};
    group_view view;
    std::optional<core::time_point> suspected_since;
    std::uint64_t token = 0;
    /// Highest token of a claim that was stored, as far as this host knows.
    std::uint64_t highest_token = 0;
    /// Newest era of the store that this host has seen, and when it saw that
    /// the store had been restored.
    std::uint64_t store_era = 0;
    std::optional<core::time_point> restored_at;
    /// Era in which the last claim of this host was made.
    std::uint64_t claim_era = 0;
    /// Primary that the last claim of this host replaces.
    core::server_id replaced;
    /// Time before which that claim was not made.
    core::time_point claimed_at;
    /// When that primary was first revoked under the claim.
    std::optional<core::time_point> revoked_at;
    /// When the log position of that primary was last queried, and how many
    /// queries in a row it left unanswered.
    std::optional<core::time_point> primary_queried_at;
    unsigned unanswered_primary_queries = 0;
    /// Log position that the old primary reported while it still led. Commits
    /// up to it may have been acknowledged.
    std::optional<core::log_position> primary_position;
    /// Whether that primary has become a replica and has no successor yet.
    bool primary_stepped_down = false;
    /// Last request to step down that was not confirmed. It is repeated until
    /// the promotion has settled, since a crashed primary may come back before
    /// that and lead on.
    std::optional<core::time_point> step_down_requested_at;
    core::term_number step_down_term = 0;
    std::set<core::server_id> queried;
    std::map<core::server_id, member_report> reports;
    core::server_id target;
    unsigned promotion_attempts = 0;
    /// Replicas that this host has paused, or resumes for another host, and
    /// that have not confirmed that they receive again.
    std::set<core::server_id> paused;
    /// Since when the primary has not confirmed its role to this host, which
    /// its callers cannot show while they use none.
    std::optional<core::time_point> unconfirmed_since;
    /// The last claim, if replicas may still be paused for it.
    std::optional<pausing_claim> unfinished;
    /// Terms of the pauses that the current queries ask for.
    std::map<core::server_id, core::term_number> pause_terms;
    /// The last claim of this host, and the version of its row.
    claim own_claim;
    std::uint64_t own_claim_version = 0;
    /// The member that orders under that claim name; empty before the first. A
    /// token names one member only: of two orders with one token that arrive
    /// late, each would take effect.
    core::server_id ordered;
    /// Whether the platform has accepted such an order.
    bool order_accepted = false;
    /// Whether the claim must be made anew because another member has to be
    /// ordered than the one that an unanswered order names.
    bool claim_spent = false;
    /// Whether no order under an earlier claim can take effect any more.
    bool earlier_orders_void = false;
    /// The primary that the takeover in progress keeps.
    std::optional<core::server_id> kept;
    /// When the last order was sent that has not been answered.
    std::optional<core::time_point> unanswered_order_at;
    /// Targets whose promotion was refused under this claim because they are
    /// not running.
    std::set<core::server_id> refused_targets;
    /// Highest term reported by any member.
    core::term_number newest_term = 0;
    /// Highest term of a log position reported by any member.
    core::term_number newest_log_term = 0;
};

/// Processes one event and returns the actions to perform.
actions decide(takeover_state& state, const takeover_settings& settings,
               const event& input, core::time_point now);

/// Returns whether a takeover is in progress and needs `time_passed` events.
bool is_active(const takeover_state& state);

}  // namespace godwitbarrow::takeover
