#include "gauges.hpp"

namespace godwitbarrow::proxy
{
namespace detail
{
namespace
{

void update_group(app& it, group_entry& group)
{
    std::lock_guard lock(group.mutex);
    for (const auto& [id, server] : group.serving.servers)
    {
        if (!server.owned)
        {
            telemetry::forget_server(*it.metrics, id);
            continue;
        }
        for (const auto n : core::all_ranks)
            telemetry::set_queue_length(
                *it.metrics, id, n,
                server.queue.waiting[core::index_of(n)].size());
    }
}

}  // namespace
}  // namespace detail

void update_gauges(app& it)
{
    for (const auto& n : all_groups(it))
        detail::update_group(it, *n);
    telemetry::set_draining(*it.metrics, it.draining.load());
    telemetry::set_gateway_load(*it.metrics,
                                gateway::requests_in_flight(it.gateway),
                                gateway::open_connections(it.gateway));
}

}  // namespace godwitbarrow::proxy
