#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/position.hpp"

/// Proves the age of the data of a member without comparing the clocks of
/// hosts: all times are read from the clock of this host.
namespace godwitbarrow::session
{

/// Log position that the primary of a term reported in response to a status
/// request.
struct primary_sample
{
    /// Time at which the status request was sent, by the clock of this host.
    core::time_point sent;
    core::log_position at;
};

/// Recent samples of one primary, oldest first, at most max_primary_samples.
/// Idle status polls are at least 1 s apart, so the bound covers more than a
/// minute.
struct primary_history
{
    std::deque<primary_sample> samples;
};
constexpr std::size_t max_primary_samples = 64;

/// Appends a sample. A sample of a newer term discards all earlier samples. A
/// sample that is older than the newest one, by term or by send time, is
/// ignored.
void add_sample(primary_history& history, const primary_sample& sample);

/// Returns the time as of which a replica is fresh: the send time of the newest
/// sample that was sent no later than the status request to the replica and
/// whose position the replica had reached in the same term. Returns nullopt if
/// the time is unknown, which counts as too old.
std::optional<core::time_point> replica_fresh_as_of(
    const primary_history& history, const core::member_status& status,
    core::time_point requested_at, core::term_number current_term);

/// Returns the time as of which the primary itself is fresh, proven by the
/// status of one other member at the same term. Returns nullopt if the time is
/// unknown.
std::optional<core::time_point> primary_fresh_as_of(
    const primary_history& history, const core::member_status& other,
    core::time_point requested_at, core::term_number current_term);

/// Returns a log position such that data at this position holds every commit
/// that was acknowledged before `since`: the position of the oldest sample sent
/// at or after `since`, which is the one that most replicas have reached.
/// Returns nullopt if no sample is that recent.
std::optional<core::log_position> position_since(const primary_history& history,
                                                 core::time_point since);

/// Returns whether data that is fresh as of `fresh_as_of` is at most `max_age`
/// old at `now`. Without a bound any age is accepted; with a bound an unknown
/// age is rejected.
bool within_age(const std::optional<core::time_point>& fresh_as_of,
                const std::optional<std::chrono::milliseconds>& max_age,
                core::time_point now);

}  // namespace godwitbarrow::session
