#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/request.hpp"

/// Burn rates of the service-level objectives, computed from cumulative
/// counters. Sans I/O.
namespace godwitbarrow::telemetry
{

/// A request is good if it completes within `latency`.
struct objective
{
    /// Share of good requests, above 0 and below 1.
    double target = 0.99;
    std::chrono::milliseconds latency{1000};
};

using objectives = std::array<objective, core::rank_count>;

struct counts
{
    /// Valid requests since the start of the process.
    std::uint64_t total = 0;
    std::uint64_t good = 0;
};

/// Counters of one process, or their sum over several, at one moment.
struct sample
{
    core::time_point at;
    std::array<counts, core::rank_count> by_rank;
};

/// Adds the counters of another process.
void add_counts(sample& to, const sample& it);

/// Samples in order of time.
struct history
{
    std::vector<sample> samples;
};

/// Appends a sample and drops those that no window needs any more. A sample
/// that is older than the last one is ignored.
void record(history& to, const sample& it);

/// Two windows that must both burn above `threshold`: the long one shows that
/// the loss is significant, the short one that it still goes on.
struct window_pair
{
    std::chrono::seconds short_window;
    std::chrono::seconds long_window;
    /// Multiple of the rate that uses up the error budget of 30 days exactly.
    double threshold;
};

/// 14.4 uses 2% of a 30-day budget in an hour, 6 uses 5% in six hours.
constexpr std::array<window_pair, 2> window_pairs{{
    {std::chrono::minutes(5), std::chrono::hours(1), 14.4},
    {std::chrono::minutes(30), std::chrono::hours(6), 6.0},
}};

struct window_rate
{
    std::chrono::seconds window{0};
    /// Time between the two samples that were compared; shorter than the
    /// window if the history is.
    core::duration covered{0};
    std::uint64_t total = 0;
    std::uint64_t bad = 0;
    /// Share of bad requests divided by the share that the objective allows.
    /// Absent with fewer than two samples; 0 without requests.
    std::optional<double> burn;
};

struct pair_rate
{
    window_rate short_rate;
    window_rate long_rate;
    bool burning = false;
};

struct rank_burn
{
    core::rank importance = core::rank::urgent;
    std::array<pair_rate, window_pairs.size()> pairs;
    bool burning = false;
};

struct burn_report
{
    std::array<rank_burn, core::rank_count> ranks;
    bool burning = false;
};

/// The rate over the last `window` before the newest sample. A counter that
/// went down was reset by a restart and counts from 0.
window_rate rate_over(const history& of, core::rank importance,
                      const objective& goal, std::chrono::seconds window);

burn_report compute_burn(const history& of, const objectives& goals);

}  // namespace godwitbarrow::telemetry
