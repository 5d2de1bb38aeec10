#include "godwitbarrow/tool/fleet_history.hpp"

namespace godwitbarrow::tool
{
namespace detail
{
namespace
{

/// A counter that went down was reset by a restart and counts from 0.
std::uint64_t increase(std::uint64_t before, std::uint64_t now)
{
    return now >= before ? now - before : now;
}

void add_increase(telemetry::sample& sum, const telemetry::sample& before,
                  const telemetry::sample& now)
{
    for (std::size_t n = 0; n < core::rank_count; ++n)
    {
        sum.by_rank[n].total +=
            increase(before.by_rank[n].total, now.by_rank[n].total);
        sum.by_rank[n].good +=
            increase(before.by_rank[n].good, now.by_rank[n].good);
    }
}

}  // namespace
}  // namespace detail

void add_round(fleet_history& to, const std::vector<host_sample>& round,
               core::time_point at)
{
    for (const auto& it : round)
    {
        if (!it.counters)
            continue;
        const auto before = to.last.find(it.host);
        if (before != to.last.end())
            detail::add_increase(to.sum, before->second, *it.counters);
        to.last[it.host] = *it.counters;
    }
    to.sum.at = at;
    telemetry::record(to.history, to.sum);
}

}  // namespace godwitbarrow::tool
