#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/position.hpp"

/// Age of the data of a member, proven without comparing clocks of hosts.
namespace godwitbarrow::session
{

/// What the primary of a term answered to a status request.
struct primary_sample
{
    /// When the request was sent, by this host's clock.
    core::time_point sent;
    core::log_position at;
};

/// Recent samples of one primary, oldest first. Status polls are at least
/// 1 s apart when idle, so the bound covers more than a minute.
struct primary_history
{
    std::deque<primary_sample> samples;
};
constexpr std::size_t max_primary_samples = 64;

/// Adds a sample. Samples of an older term are discarded; one that is older
/// than the newest sample is ignored.
void add_sample(primary_history& history, const primary_sample& it);

/// The time as of which a replica is fresh: the newest sample that was sent
/// no later than the replica's own status request and whose position the
/// replica had reached in the same term. Absent: unknown, which counts as
/// too old.
std::optional<core::time_point> replica_fresh_as_of(
    const primary_history& history, const core::member_status& status,
    core::time_point requested_at, core::term_number current_term);

/// The time as of which the primary itself is fresh, proven by the status of
/// one other member at the same term.
std::optional<core::time_point> primary_fresh_as_of(
    const primary_history& history, const core::member_status& other,
    core::time_point requested_at, core::term_number current_term);

/// The position that proves data to hold every commit that was acknowledged
/// before `since`: the oldest sample sent no earlier, which most replicas
/// have reached. Absent: no sample is that recent.
std::optional<core::log_position> position_since(const primary_history& history,
                                                 core::time_point since);

/// Whether data that is fresh as of `fresh_as_of` is within `max_age` at
/// `now`. An absent bound accepts everything, an unknown age nothing.
bool within_age(const std::optional<core::time_point>& fresh_as_of,
                const std::optional<std::chrono::milliseconds>& max_age,
                core::time_point now);

}  // namespace godwitbarrow::session
