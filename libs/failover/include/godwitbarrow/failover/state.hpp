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

/// What a host knows and remembers about the primary of one group.
namespace godwitbarrow::failover
{

struct timing
{
    /// Silence of the primary beyond the wait of its poll that is suspicious.
    std::chrono::milliseconds status_timeout{800};
    /// Longest time that a member holds a status poll.
    std::chrono::milliseconds longest_poll_wait{1000};
    /// Time without contact after which replicas count as cut off.
    std::chrono::milliseconds contact_loss{1500};
    /// Time that a member needs to notice the loss itself. It is part of
    /// `contact_loss`.
    std::chrono::milliseconds member_contact_timeout{500};
    /// Age up to which a status is evidence of lost contact.
    std::chrono::milliseconds status_validity{2500};
    /// Reports of the data path count together within this time.
    std::chrono::milliseconds report_window{2000};
    /// Least time between two reports to the coordinator of failures on the
    /// data path, and of silence.
    std::chrono::milliseconds report_interval{50};
    std::chrono::milliseconds silence_report_interval{1000};
    /// Longest time that a round of observers takes.
    std::chrono::milliseconds observation_timeout{500};
    /// Pause after a round that did not confirm the suspicion.
    std::chrono::milliseconds round_pause{500};
    /// Time for which another coordinator may show no progress.
    std::chrono::milliseconds takeover_delay{1000};
    /// Time to wait for more than a majority if that improves the choice.
    std::chrono::milliseconds fence_grace{200};
    /// Pause before a member is asked again to fence or to promote.
    std::chrono::milliseconds member_retry{250};
    /// Time after which a term whose promotion got no answer is given up.
    std::chrono::milliseconds promote_timeout{1500};
    /// Pause between ordered promotions away from a leaving primary.
    std::chrono::milliseconds leaving_retry{5000};
    /// Pause before a member is told again to follow the primary.
    std::chrono::milliseconds follow_retry{2000};
    /// First and longest pause before the store is called again.
    std::chrono::milliseconds store_retry_first{100};
    std::chrono::milliseconds store_retry_longest{2000};
    /// Least time between reads of a row that is behind the members.
    std::chrono::milliseconds row_refresh{1000};
    /// Time between reads of an undisturbed row, which find the claim of a
    /// coordinator that died. 8,600 groups make about 40 reads a second.
    std::chrono::milliseconds row_review{300000};
};

/// Reports or failures on the data path that start a round of observers.
constexpr std::size_t reports_needed = 2;
/// Hosts asked in one round, besides this one.
constexpr std::size_t most_observers = 4;
/// Hosts that have to agree, this one included.
constexpr std::size_t hosts_needed = 2;

struct member_state
{
    std::optional<core::member_status> status;
    core::time_point requested_at;
    core::time_point received_at;
    /// The last poll failed.
    bool missed = false;
    /// Time that the member may hold the poll under way.
    std::optional<std::chrono::milliseconds> poll_wait;
    /// Start of the unbroken reports without contact to the primary.
    std::optional<core::time_point> lost_contact_since;
    std::optional<core::time_point> told_to_follow_at;
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
    /// The row names no primary, or the named one does not lead.
    unresolved
};

/// One round of observers.
struct observation_round
{
    std::uint64_t number = 0;
    core::time_point deadline;
    std::set<core::host_id> asked;
    /// Answers about the primary: whether the host reached it.
    std::map<core::host_id, bool> reached;
    /// Hosts to which a replica reported lost contact.
    std::map<core::server_id, std::set<core::host_id>> lost_contact;
};

/// One claim of a term and what follows from it.
struct promotion_attempt
{
    cause reason = cause::unreachable;
    /// Term of the view that the attempt replaces.
    core::term_number replaces = 0;
    core::term_number term = 0;
    core::attempt_id id;
    core::time_point confirmed_at;
    /// A claim was written whose effect is not known.
    bool in_doubt = false;
    /// A majority was fenced at this time.
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
    /// Row as last read or written.
    std::optional<versioned_row> row;
    /// The row may have changed and has to be read before it is used.
    bool stale = true;
    /// When the content of `row` was seen first, or its attempt progressed.
    core::time_point row_since;
    store_call call = store_call::none;
    group_row written;
    core::time_point retry_at;
    std::chrono::milliseconds pause{0};
    core::time_point refresh_at;
    core::time_point review_at;
    /// Members in the term of a row without primary. An increase is progress.
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
    core::time_point watching_since;
    /// Recent failures of the data path to the primary.
    std::vector<core::time_point> reports;
    core::time_point next_report;
    core::time_point next_round;
    core::time_point next_ordered;

    phase current_phase = phase::steady;
    observation_round round;
    promotion_attempt attempt;
    store_state store;
    /// Promotion that the row does not show yet.
    std::optional<group_row> publication;

    std::uint64_t attempts = 0;
    /// Distinguishes the attempt ids of two processes of the same host.
    std::uint64_t incarnation = 0;
    /// State of the jitter; any value.
    std::uint64_t jitter = 1;
};

}  // namespace godwitbarrow::failover
