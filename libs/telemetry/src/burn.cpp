#include "godwitbarrow/telemetry/burn.hpp"

#include <algorithm>

namespace godwitbarrow::telemetry
{
namespace detail
{
namespace
{

/// Avoids a division by zero for a target of 1, which settings reject.
constexpr double smallest_budget = 1e-9;

constexpr std::chrono::seconds longest_window = window_pairs.back().long_window;

using sample_iterator = std::vector<sample>::const_iterator;

/// The last sample that is at least `window` older than the newest, or the
/// first one. `samples` must not be empty.
sample_iterator start_of(const std::vector<sample>& samples,
                         std::chrono::seconds window)
{
    const auto limit = samples.back().at - window;
    const auto later = std::upper_bound(samples.begin(), samples.end(), limit,
                                        [](core::time_point t, const sample& it)
                                        { return t < it.at; });
    return later == samples.begin() ? later : std::prev(later);
}

counts increase(const counts& from, const counts& to)
{
    if (to.total < from.total || to.good < from.good)
        return to;
    return {to.total - from.total, to.good - from.good};
}

double burn_of(std::uint64_t bad, std::uint64_t total, const objective& goal)
{
    if (total == 0)
        return 0;
    const double ratio = static_cast<double>(bad) / static_cast<double>(total);
    return ratio / std::max(1 - goal.target, smallest_budget);
}

bool exceeds(const window_rate& it, double threshold)
{
    return it.burn && *it.burn > threshold;
}

rank_burn burn_of_rank(const history& of, core::rank importance,
                       const objective& goal)
{
    rank_burn out;
    out.importance = importance;
    for (std::size_t n = 0; n < window_pairs.size(); ++n)
    {
        const auto& windows = window_pairs[n];
        auto& pair = out.pairs[n];
        pair.short_rate = rate_over(of, importance, goal, windows.short_window);
        pair.long_rate = rate_over(of, importance, goal, windows.long_window);
        pair.burning = exceeds(pair.short_rate, windows.threshold) &&
                       exceeds(pair.long_rate, windows.threshold);
        out.burning = out.burning || pair.burning;
    }
    return out;
}

}  // namespace
}  // namespace detail

void add_counts(sample& to, const sample& it)
{
    for (std::size_t n = 0; n < core::rank_count; ++n)
    {
        to.by_rank[n].total += it.by_rank[n].total;
        to.by_rank[n].good += it.by_rank[n].good;
    }
}

void record(history& to, const sample& it)
{
    auto& all = to.samples;
    if (!all.empty() && it.at < all.back().at)
        return;
    all.push_back(it);
    all.erase(all.cbegin(), detail::start_of(all, detail::longest_window));
}

window_rate rate_over(const history& of, core::rank importance,
                      const objective& goal, std::chrono::seconds window)
{
    window_rate out;
    out.window = window;
    if (of.samples.size() < 2)
        return out;
    const auto start = detail::start_of(of.samples, window);
    out.covered = of.samples.back().at - start->at;
    const auto n = core::index_of(importance);
    for (auto it = std::next(start); it != of.samples.end(); ++it)
    {
        const auto step =
            detail::increase(std::prev(it)->by_rank[n], it->by_rank[n]);
        out.total += step.total;
        out.bad += step.total - std::min(step.good, step.total);
    }
    out.burn = detail::burn_of(out.bad, out.total, goal);
    return out;
}

burn_report compute_burn(const history& of, const objectives& goals)
{
    burn_report out;
    for (const auto it : core::all_ranks)
    {
        const auto n = core::index_of(it);
        out.ranks[n] = detail::burn_of_rank(of, it, goals[n]);
        out.burning = out.burning || out.ranks[n].burning;
    }
    return out;
}

}  // namespace godwitbarrow::telemetry
