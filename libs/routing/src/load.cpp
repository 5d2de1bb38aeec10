#include "godwitbarrow/routing/load.hpp"

#include <algorithm>
#include <cmath>
#include <string>

#include "godwitbarrow/routing/owner.hpp"

namespace godwitbarrow::routing
{
namespace detail
{
namespace
{

using seconds = std::chrono::duration<double>;

/// The observations of a candidate, faded towards the mean of the group.
struct faded_load
{
    double busy_s = 0;
    double failure_share = 0;
};

double in_seconds(core::duration it)
{
    return seconds(it).count();
}

/// Share of an observation of this age that still counts.
double weight_of(const load_estimate& it, const load_settings& settings,
                 core::time_point now)
{
    if (!it.updated_at)
        return 0;
    const auto age = in_seconds(std::max(now - *it.updated_at, {}));
    return std::exp2(-age / seconds(settings.half_life).count());
}

faded_load mean_of(const std::vector<load_candidate>& all)
{
    faded_load out;
    double n = 0;
    for (const auto& it : all)
    {
        if (!it.load.updated_at)
            continue;
        out.busy_s += in_seconds(it.load.busy_time);
        out.failure_share += it.load.failure_share;
        ++n;
    }
    if (n > 0)
        out = {out.busy_s / n, out.failure_share / n};
    return out;
}

/// Time that a statement keeps a slot of a server that has nothing else to do,
/// as far as known: the least busy time of the group.
double service_of(const std::vector<load_candidate>& all)
{
    std::optional<core::duration> out;
    for (const auto& it : all)
        if (it.load.updated_at && (!out || it.load.busy_time < *out))
            out = it.load.busy_time;
    return in_seconds(out.value_or(core::duration{}));
}

/// Between 1 - variation and 1 + variation, the same for a host and a server
/// within one interval.
double variation_of(const load_candidate& it, const load_settings& settings,
                    const core::host_id& self, core::time_point now)
{
    const auto interval = now.time_since_epoch() / settings.variation_interval;
    const auto hash = rendezvous_hash(
        it.server.value, self.value + '/' + std::to_string(interval));
    constexpr double largest = 18446744073709551616.0;
    return 1 +
           settings.variation * (2 * (static_cast<double>(hash) / largest) - 1);
}

core::duration rounded(double time_s, const load_settings& settings)
{
    const auto steps =
        std::llround(time_s / seconds(settings.resolution).count());
    return settings.resolution * steps;
}

}  // namespace
}  // namespace detail

void record_success(load_estimate& it, const load_settings& settings,
                    core::duration took, core::time_point now)
{
    it.shortest = std::min(it.shortest.value_or(took), took);
    const auto sample = took - *it.shortest;
    const auto change = detail::in_seconds(sample - it.busy_time);
    it.busy_time += std::chrono::duration_cast<core::duration>(
        detail::seconds(change * settings.sample_weight));
    it.failure_share *= 1 - settings.sample_weight;
    it.updated_at = now;
}

void record_failure(load_estimate& it, const load_settings& settings,
                    core::time_point now)
{
    it.failure_share += (1 - it.failure_share) * settings.sample_weight;
    it.updated_at = now;
}

std::vector<core::duration> expected_times(
    const std::vector<load_candidate>& candidates,
    const load_settings& settings, const core::host_id& self,
    core::time_point now)
{
    const auto mean = detail::mean_of(candidates);
    const auto service_s = detail::service_of(candidates);
    std::vector<core::duration> out;
    out.reserve(candidates.size());
    for (const auto& it : candidates)
    {
        const auto known = detail::weight_of(it.load, settings, now);
        const auto mix = [known](double own, double all)
        {
            return known * own + (1 - known) * all;
        };
        const auto busy_s =
            mix(detail::in_seconds(it.load.busy_time), mean.busy_s);
        const auto failures = mix(it.load.failure_share, mean.failure_share);
        const auto slots =
            static_cast<double>(std::max<std::size_t>(it.slots, 1));
        auto work_s =
            (busy_s + static_cast<double>(it.running) * service_s / slots) *
            detail::variation_of(it, settings, self, now);
        if (it.reserved)
            work_s = work_s * settings.reserved_factor +
                     detail::seconds(settings.reserved_margin).count();
        out.push_back(detail::rounded(
            detail::in_seconds(it.network) + work_s +
                failures * detail::seconds(settings.failure_cost).count(),
            settings));
    }
    return out;
}

}  // namespace godwitbarrow::routing
