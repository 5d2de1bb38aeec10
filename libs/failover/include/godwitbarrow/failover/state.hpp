#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/core/position.hpp"
#include "godwitbarrow/failover/events.hpp"

/// State that a host keeps about the primary of one group.
namespace godwitbarrow::failover
{

struct timing
{
    /// Time without a status from the primary, beyond the wait of its poll,
    /// after which the primary is suspected.
    std::chrono::milliseconds status_timeout{800};
    /// Maximum time for which a member holds a status poll.
    std::chrono::milliseconds max_poll_wait{1000};
    /// Time without contact after which replicas count as disconnected from the
    /// primary.
    std::chrono::milliseconds contact_loss_timeout{1500};
    /// Time that a member needs to detect the loss itself. It is included in
    /// `contact_loss_timeout`.
    std::chrono::milliseconds member_contact_timeout{500};
    /// Maximum age at which a status is still evidence of lost contact.
    std::chrono::milliseconds status_validity{2500};
    /// Time within which reports from the data path are counted together.
    std::chrono::milliseconds report_window{2000};
    /// Minimum time between two reports to the coordinator, for failures on the
    /// data path and for a silent primary respectively.
    std::chrono::milliseconds report_interval{50};
    std::chrono::milliseconds silence_report_interval{1000};
    /// Maximum duration of an observation round.
    std::chrono::milliseconds observation_timeout{500};
    /// Delay after a round that did not confirm the suspicion.
    std::chrono::milliseconds round_backoff{500};
    /// Time without progress after which the attempt of another coordinator is
    /// taken over.
    std::chrono::milliseconds takeover_delay{1000};
    /// Time to wait for responses beyond a majority if they can improve the
    /// choice of the primary.
    std::chrono::milliseconds fence_grace{200};
    /// Delay before a fence or promote request to a member is repeated.
    std::chrono::milliseconds member_retry_interval{250};
    /// Time after which a term is abandoned if its promotion is not answered.
    std::chrono::milliseconds promote_timeout{1500};
    /// Delay between planned switchovers from a leaving primary.
    std::chrono::milliseconds switchover_retry_interval{5000};
    /// Delay before a follow request to a member is repeated.
    std::chrono::milliseconds follow_retry_interval{2000};
    /// Initial and maximum backoff before the store is called again.
    std::chrono::milliseconds initial_store_backoff{100};
    std::chrono::milliseconds max_store_backoff{2000};
    /// Minimum time between reads of a row that is behind the members.
    std::chrono::milliseconds row_refresh_interval{1000};
    /// Time between reads of a row that nothing else causes to be read. They
    /// find the claim of a coordinator that died. 8,600 groups cause about 40
    /// reads per second.
    std::chrono::milliseconds row_review_interval{300000};
};

/// Number of reports or failures on the data path that start an observation
/// round.
constexpr std::size_t suspicion_threshold = 2;
/// Maximum number of hosts asked in one round, besides this one.
constexpr std::size_t max_observers = 4;
/// Minimum number of hosts that must agree, including this one.
constexpr std::size_t min_agreeing_hosts = 2;

struct member_state
{
    std::optional<core::member_status> status;
    core::time_point requested_at;
    core::time_point received_at;
    bool last_poll_failed = false;
    /// Time for which the member may hold the pending poll.
    std::optional<std::chrono::milliseconds> poll_wait;
    /// Start of the uninterrupted sequence of statuses without contact to the
    /// primary.
    std::optional<core::time_point> lost_contact_since;
    std::optional<core::time_point> follow_sent_at;
    bool leaving = false;
};

struct group_view
{
    core::term_number term = 0;
    std::optional<core::server_id> primary;
    core::time_point since;
};

enum class phase
{
    steady,
    confirming,
    claiming,
    fencing,
    promoting
};

enum class cause
{
    unreachable,
    partitioned,
    leaving,
    /// The row names no primary, or the named server is not in the primary
    /// role.
    unresolved
};

/// One round of connection attempts to the servers by the observers.
struct observation_round
{
    std::uint64_t number = 0;
    core::time_point deadline;
    std::set<core::host_id> asked;
    /// Whether each host reached the primary.
    std::map<core::host_id, bool> reached;
    /// Hosts to which each replica reported lost contact to the primary.
    std::map<core::server_id, std::set<core::host_id>> lost_contact;
};

/// One claim of a term and the fencing and promotion that follow it.
struct promotion_attempt
{
    cause reason = cause::unreachable;
    /// Term of the view that this attempt replaces.
    core::term_number replaced_term = 0;
    core::term_number term = 0;
    core::attempt_id id;
    core::time_point confirmed_at;
    /// A claim was written and it is unknown whether the write took effect.
    bool in_doubt = false;
    /// Time at which a majority was fenced.
    std::optional<core::time_point> majority_at;
    std::map<core::server_id, core::member_status> fenced;
    std::map<core::server_id, core::time_point> retry_at;
    std::optional<core::server_id> chosen;
    core::time_point chosen_at;
};

enum class store_call
{
    none,
    reading,
    claiming,
    publishing,
    creating
};

struct store_state
{
    /// Row as last read from or written to the store.
    std::optional<versioned_row> row;
    /// The row may have changed and must be read again before it is used.
    bool stale = true;
    /// Time at which the content of `row` was first seen or its attempt last
    /// progressed.
    core::time_point row_unchanged_since;
    store_call call = store_call::none;
    group_row pending_write;
    core::time_point retry_at;
    std::chrono::milliseconds backoff{0};
    core::time_point refresh_at;
    core::time_point review_at;
    /// Number of members in the term of a row without a primary. An increase
    /// counts as progress.
    std::size_t members_in_term = 0;
};

struct group_state
{
    core::group_id group;
    core::host_id self;
    timing limits;
    std::map<core::server_id, member_state> members;
    group_view view;

    bool coordinator = false;
    std::vector<core::host_id> observers;
    core::time_point monitoring_since;
    /// Times of recent failures of the data path to the primary.
    std::vector<core::time_point> reports;
    core::time_point next_report;
    core::time_point next_round;
    core::time_point next_switchover;

    phase current_phase = phase::steady;
    observation_round round;
    promotion_attempt attempt;
    store_state store;
    /// Promotion that has not been written to the row yet.
    std::optional<group_row> publication;

    std::uint64_t attempts = 0;
    /// Distinguishes the attempt ids of two processes of the same host.
    std::uint64_t incarnation = 0;
    /// State of the jitter generator; any value is valid.
    std::uint64_t jitter = 1;
};

}  // namespace godwitbarrow::failover
