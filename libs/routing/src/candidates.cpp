#include "godwitbarrow/routing/candidates.hpp"

#include <algorithm>
#include <tuple>

namespace godwitbarrow::routing
{
namespace detail
{
namespace
{

const member_entry* find(const std::vector<member_entry>& members,
                         const core::server_id& server)
{
    const auto it = std::find_if(members.begin(), members.end(),
                                 [&](const member_entry& candidate)
                                 { return candidate.server == server; });
    return it == members.end() ? nullptr : &*it;
}

bool needs_running_transaction(core::access_mode it)
{
    return it == core::access_mode::statement ||
           it == core::access_mode::commit || it == core::access_mode::rollback;
}

}  // namespace
}  // namespace detail

std::chrono::microseconds latency_to(const location& target,
                                     const location& local,
                                     const latency_estimates& known)
{
    const auto it = known.one_way.find(target.data_centre);
    if (it != known.one_way.end())
        return it->second;
    if (target.data_centre == local.data_centre)
        return known.same_data_centre;
    if (target.region == local.region)
        return known.same_region;
    return known.other_region;
}

std::vector<core::server_id> candidate_servers(
    const core::request& request, const std::vector<member_entry>& members,
    const std::optional<core::server_id>& primary, const location& local,
    const latency_estimates& known)
{
    const auto* first = primary ? detail::find(members, *primary) : nullptr;
    if (detail::needs_running_transaction(request.access))
        return first ? std::vector{first->server}
                     : std::vector<core::server_id>{};
    if (request.access != core::access_mode::read)
        return first && !first->leaving ? std::vector{first->server}
                                        : std::vector<core::server_id>{};
    std::vector<const member_entry*> order;
    for (const auto& it : members)
        if (!it.leaving)
            order.push_back(&it);
    const auto key = [&](const member_entry* it)
    {
        return std::make_tuple(
            it == first, it->suspected, latency_to(it->at, local, known),
            rendezvous_hash(request.id.value, it->server.value));
    };
    std::sort(order.begin(), order.end(),
              [&](const member_entry* a, const member_entry* b)
              { return key(a) < key(b); });
    std::vector<core::server_id> servers;
    servers.reserve(order.size());
    for (const auto* it : order)
        servers.push_back(it->server);
    return servers;
}

}  // namespace godwitbarrow::routing
