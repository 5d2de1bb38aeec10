#include "group_settings.hpp"

namespace godwitbarrow::proxy
{
namespace detail
{
namespace
{

admission::queue_settings to_queue_settings(const settings::settings& of)
{
    admission::queue_settings it;
    const bool ranked = of.limits.queue == settings::queue_policy::ranked;
    it.scheduling = ranked
                        ? admission::scheduling_policy::ranked
                        : admission::scheduling_policy::first_come_first_served;
    for (const auto n : core::all_ranks)
        it.minimum_share[core::index_of(n)] =
            of.ranks[core::index_of(n)].minimum_share;
    it.urgent_slots =
        of.ranks[core::index_of(core::rank::urgent)].reserved_slots;
    return it;
}

}  // namespace
}  // namespace detail

serving::group_settings to_group_settings(const settings::settings& of,
                                          const core::group_id& group,
                                          const core::host_id& self)
{
    serving::group_settings it;
    it.group = group;
    it.self = self;
    for (const auto& n : of.groups.at(group).members)
    {
        const auto& server = of.backend_servers.at(n);
        it.servers.push_back({n, server.slots, server.connections});
    }
    it.queue = detail::to_queue_settings(of);
    it.pool.idle_timeout = of.limits.idle_age;
    it.pool.probe_after = of.limits.probe_after;
    it.retry.ratio = of.limits.retry_ratio;
    it.transaction_idle_limit = of.limits.transaction_idle_limit;
    return it;
}

}  // namespace godwitbarrow::proxy
