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

/// Replaces the primary of one group: confirms that it is unreachable, agrees
/// with the other hosts through a row of the store, and orders the promotion of
/// the replica that received most. Sans I/O.
namespace godwitbarrow::takeover
{

struct takeover_settings
{
    core::host_id self;
    /// A claim of another host is left alone for this long.
    std::chrono::milliseconds claim_limit{3000};
    /// A vote counts for this long after it was renewed.
    std::chrono::milliseconds vote_limit{1500};
    std::chrono::milliseconds vote_interval{600};
    /// About what a promotion costs each host. A primary that half of the hosts
    /// cannot reach is replaced once all of them have been without it for
    /// longer than that, on average.
    std::chrono::milliseconds promotion_cost{500};
    /// A host may claim without the others after it suspected for this long,
    /// for example because they have no callers of the group. Most hosts may
    /// still reach the primary, and a promotion loses the commits that no
    /// replica received, so the limit leaves just enough of the 11 s in which a
    /// primary is to be replaced.
    std::chrono::milliseconds lone_limit{8000};
    std::chrono::milliseconds answer_limit{400};
    std::chrono::milliseconds pause{200};
    /// After a promotion was ordered, before the next one may begin.
    std::chrono::milliseconds settle_limit{2000};
    /// Orders of the same promotion that may remain unanswered.
    unsigned most_orders = 4;
};

/// What this host sees of the group.
struct group_view
{
    std::optional<core::server_id> primary;
    /// The primary does not answer, or there is none.
    bool unreachable = false;
    /// How long ago the primary last answered, if it is unreachable.
    std::chrono::milliseconds unreachable_for{0};
    /// The primary is about to leave and should be replaced before.
    bool leaving = false;
    /// All other members that may take over, and those that are leaving.
    std::vector<core::server_id> candidates;
    std::vector<core::server_id> leaving_members;
    std::size_t live_hosts = 1;
    /// Replicas that have received each commit before it is acknowledged.
    std::size_t synchronous_replicas = 0;
};

/// What a member answered to a status question.
struct member_report
{
    core::member_role role = core::member_role::replica;
    core::term_number newest_term = 0;
    core::log_position received;
};

struct group_view_updated
{
    group_view view;
};

/// Answer of the store to a read of the group's rows.
struct rows_read
{
    /// Absent if there was no claim yet.
    std::optional<claim> last_claim;
    /// Version of the row of the claim; 0 if it does not exist.
    std::uint64_t version = 0;
    std::map<core::host_id, vote> votes;
    std::chrono::milliseconds store_time{0};
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
};

struct store_failed
{
};

struct member_answered
{
    core::server_id server;
    /// Absent if it did not answer or could not be asked.
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

using event =
    std::variant<group_view_updated, rows_read, row_written, store_failed,
                 member_answered, promotion_answered, time_passed>;

struct read_rows
{
};

struct write_claim
{
    claim row;
    /// 0 if the row must not exist.
    std::uint64_t expected_version = 0;
};

/// Writes the own vote whatever it was before.
struct write_vote
{
    vote row;
};

struct ask_member
{
    core::server_id server;
    /// Stop the replica from receiving at this term first.
    std::optional<core::term_number> pause_replication_at;
};

struct order_promotion
{
    core::server_id server;
    std::uint64_t token = 0;
};

/// The member is the primary or is becoming it.
struct primary_known
{
    core::server_id server;
    /// False if it only answered and kept its role.
    bool promoted = false;
};

struct failover_step
{
    std::string name;
    core::server_id server;
    std::string detail;
};

using action = std::variant<read_rows, write_claim, write_vote, ask_member,
                            order_promotion, primary_known, failover_step>;
using actions = std::vector<action>;

enum class phase
{
    idle,
    /// Asks the suspected primary.
    confirming,
    reading,
    voting,
    claiming,
    /// Compares the replicas.
    asking,
    ordering,
    /// Waits before the next step, or for the effect of a promotion.
    pausing
};

struct takeover_state
{
    phase at = phase::idle;
    core::time_point since;
    /// How long the phase `pausing` lasts.
    std::chrono::milliseconds pause{0};
    group_view view;
    std::optional<core::time_point> suspected_since;
    std::uint64_t token = 0;
    core::time_point claimed;
    std::set<core::server_id> asked;
    std::map<core::server_id, member_report> reports;
    core::server_id target;
    unsigned orders = 0;
    /// Targets that were refused as not running under this claim.
    std::set<core::server_id> refused;
    /// The highest term that a member reported.
    core::term_number newest_term = 0;
};

actions decide(takeover_state& it, const takeover_settings& settings,
               const event& what, core::time_point now);

/// Whether the state needs `time_passed` events.
bool is_active(const takeover_state& it);

}  // namespace godwitbarrow::takeover
