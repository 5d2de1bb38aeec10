#include "godwitbarrow/owners/owners.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include "godwitbarrow/routing/owner.hpp"

namespace godwitbarrow::owners
{
namespace detail
{
namespace
{

/// Connections for each slot of a member that an owner gets at least.
constexpr std::size_t connections_per_slot = 2;
/// With fewer, one lost owner takes too large a part of all sessions, and the
/// owners cannot outvote one that has lost its primary alone.
constexpr std::size_t min_owners = 3;
/// A host with less than this part of the largest share of a core in its region
/// is weak.
constexpr double min_relative_share = 0.5;

using host_list = std::vector<hosts::peer_host>;

/// Whether every host can get a connection for each slot of a member.
bool suffices_for_all(const member_capacity& capacity, std::size_t live)
{
    return capacity.max_connections >= live * capacity.slots;
}

/// The weight of a host in rendezvous hashing: of two hosts, one with twice the
/// share of a core is chosen for twice as many groups.
double weighted_score(const core::group_id& group, const hosts::peer_host& it)
{
    const auto hash = routing::rendezvous_hash(group.value, it.host.value);
    const auto uniform =
        (static_cast<double>(hash) + 1) /
        (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
    return -it.core_share / std::log(uniform);
}

double largest_share(const host_list& all)
{
    double out = 0;
    for (const auto& it : all)
        out = std::max(out, it.core_share);
    return out;
}

/// The hosts with the highest scores. One that is much weaker than the
/// strongest host is taken only if there are too few others.
host_list best_of(const core::group_id& group, host_list all, std::size_t n)
{
    const auto least = largest_share(all) * min_relative_share;
    const auto is_better = [&](const auto& a, const auto& b)
    {
        const bool weak_a = a.core_share < least;
        const bool weak_b = b.core_share < least;
        if (weak_a != weak_b)
            return weak_b;
        const auto x = weighted_score(group, a);
        const auto y = weighted_score(group, b);
        return x != y ? x > y : a.host < b.host;
    };
    std::sort(all.begin(), all.end(), is_better);
    all.resize(std::min(all.size(), n));
    return all;
}

std::map<core::region_id, host_list> usable_by_region(const host_list& live)
{
    std::map<core::region_id, host_list> out;
    for (const auto& it : live)
        if (!it.leaving)
            out[it.region].push_back(it);
    return out;
}

std::size_t owners_per_region(const member_capacity& capacity,
                              std::size_t regions)
{
    const auto per_owner =
        connections_per_slot * std::max<std::size_t>(capacity.slots, 1);
    const auto least = (min_owners + regions - 1) / regions;
    return std::max(capacity.max_connections / per_owner / regions, least);
}

bool by_name(const hosts::peer_host& a, const hosts::peer_host& b)
{
    return a.host < b.host;
}

}  // namespace
}  // namespace detail

bool operator==(const ownership& a, const ownership& b)
{
    const auto same = [](const auto& x, const auto& y)
    {
        return x.host == y.host && x.region == y.region;
    };
    return a.all_hosts == b.all_hosts &&
           std::equal(a.owners.begin(), a.owners.end(), b.owners.begin(),
                      b.owners.end(), same);
}

bool operator!=(const ownership& a, const ownership& b)
{
    return !(a == b);
}

ownership choose_owners(const core::group_id& group,
                        const member_capacity& capacity,
                        const std::vector<hosts::peer_host>& live)
{
    ownership out;
    const auto regions = detail::usable_by_region(live);
    if (detail::suffices_for_all(capacity, live.size()) || regions.empty())
        return out;
    out.all_hosts = false;
    const auto per_region = detail::owners_per_region(capacity, regions.size());
    for (const auto& [region, all] : regions)
        for (auto& it : detail::best_of(group, all, per_region))
            out.owners.push_back(std::move(it));
    std::sort(out.owners.begin(), out.owners.end(), detail::by_name);
    return out;
}

bool is_owner(const ownership& of, const core::host_id& host)
{
    return of.all_hosts ||
           std::any_of(of.owners.begin(), of.owners.end(),
                       [&](const auto& it) { return it.host == host; });
}

std::vector<core::host_id> preferred_owners(const ownership& of,
                                            const hosts::peer_host& entry)
{
    auto all = of.owners;
    std::sort(
        all.begin(), all.end(),
        [&](const auto& a, const auto& b)
        {
            const bool near_a = a.region == entry.region;
            const bool near_b = b.region == entry.region;
            if (near_a != near_b)
                return near_a;
            return routing::rendezvous_hash(entry.host.value, a.host.value) >
                   routing::rendezvous_hash(entry.host.value, b.host.value);
        });
    std::vector<core::host_id> out;
    out.reserve(all.size());
    for (const auto& it : all)
        out.push_back(it.host);
    return out;
}

}  // namespace godwitbarrow::owners
