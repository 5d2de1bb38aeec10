#include <tuple>

#include "detail.hpp"

namespace godwitbarrow::failover::detail
{
namespace
{

/// A member that can be promoted but should not stay primary.
bool avoided(const group_state& state, const core::server_id& server)
{
    if (state.members.at(server).leaving)
        return true;
    return state.attempt.reason == cause::partitioned &&
           server == state.view.primary;
}

}  // namespace

core::server_id choose_primary(const group_state& state)
{
    std::size_t preferred = 0;
    for (const auto& [server, status] : state.attempt.fenced)
        if (!avoided(state, server))
            ++preferred;
    // Only a majority is sure to contain a holder of every acknowledged
    // write, so members are left out only if a majority remains.
    const bool leave_out = preferred >= majority(state);
    const auto key = [&](const auto& it)
    {
        return std::tuple(it.second.log_term, it.second.position,
                          !avoided(state, it.first));
    };
    const std::pair<const core::server_id, core::member_status>* best = nullptr;
    for (const auto& it : state.attempt.fenced)
    {
        if (leave_out && avoided(state, it.first))
            continue;
        if (best == nullptr || key(*best) < key(it))
            best = &it;
    }
    return best->first;
}

}  // namespace godwitbarrow::failover::detail
