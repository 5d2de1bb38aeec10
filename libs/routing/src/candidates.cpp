#include "godwitbarrow/routing/candidates.hpp"

#include <algorithm>
#include <tuple>

namespace godwitbarrow::routing
{
namespace detail
{
namespace
{

const member_entry* find_member(const std::vector<member_entry>& members,
                                const core::server_id& server)
{
    const auto it = std::find_if(members.begin(), members.end(),
                                 [&](const member_entry& candidate)
                                 { return candidate.server == server; });
    return it == members.end() ? nullptr : &*it;
}

bool requires_open_transaction(core::access_mode access)
{
    return access == core::access_mode::statement ||
           access == core::access_mode::commit ||
           access == core::access_mode::rollback;
}

}  // namespace
}  // namespace detail

std::chrono::microseconds latency_to(const location& target,
                                     const location& local,
                                     const latency_estimates& latencies)
{
    const auto it = latencies.one_way.find(target.data_centre);
    if (it != latencies.one_way.end())
        return it->second;
    if (target.data_centre == local.data_centre)
        return latencies.same_data_centre;
    if (target.region == local.region)
        return latencies.same_region;
    return latencies.other_region;
}

std::vector<core::server_id> candidate_servers(
    const core::request& request, const std::vector<member_entry>& members,
    const std::optional<core::server_id>& primary, const location& local,
    const latency_estimates& latencies)
{
    const auto* primary_entry =
        primary ? detail::find_member(members, *primary) : nullptr;
    if (detail::requires_open_transaction(request.access))
        return primary_entry ? std::vector{primary_entry->server}
                             : std::vector<core::server_id>{};
    if (request.access != core::access_mode::read)
        return primary_entry && !primary_entry->leaving
                   ? std::vector{primary_entry->server}
                   : std::vector<core::server_id>{};
    std::vector<const member_entry*> sorted;
    for (const auto& member : members)
        if (!member.leaving)
            sorted.push_back(&member);
    const auto sort_key = [&](const member_entry* member)
    {
        return std::make_tuple(
            member == primary_entry, member->suspected,
            latency_to(member->at, local, latencies),
            rendezvous_hash(request.id.value, member->server.value));
    };
    std::sort(sorted.begin(), sorted.end(),
              [&](const member_entry* a, const member_entry* b)
              { return sort_key(a) < sort_key(b); });
    std::vector<core::server_id> servers;
    servers.reserve(sorted.size());
    for (const auto* member : sorted)
        servers.push_back(member->server);
    return servers;
}

}  // namespace godwitbarrow::routing
