#include <tuple>

#include "detail.hpp"

namespace godwitbarrow::failover::detail
{
namespace
{

/// Whether a member may be promoted but should not remain primary.
bool is_unsuitable(const group_state& state, const core::server_id& server)
{
    if (state.members.at(server).leaving)
        return true;
    return state.attempt.reason == cause::partitioned &&
           server == state.view.primary;
}

}  // namespace

core::server_id choose_primary(const group_state& state)
{
    std::size_t suitable_count = 0;
    for (const auto& [server, status] : state.attempt.fenced)
        if (!is_unsuitable(state, server))
            ++suitable_count;
    // Only a majority is guaranteed to contain a member with every acknowledged
    // write, so members are excluded only if a majority remains.
    const bool exclude_unsuitable = suitable_count >= majority(state);
    const auto key = [&](const auto& candidate)
    {
        return std::tuple(candidate.second.log_term, candidate.second.position,
                          !is_unsuitable(state, candidate.first));
    };
    const std::pair<const core::server_id, core::member_status>* best = nullptr;
    for (const auto& candidate : state.attempt.fenced)
    {
        if (exclude_unsuitable && is_unsuitable(state, candidate.first))
            continue;
        if (best == nullptr || key(*best) < key(candidate))
            best = &candidate;
    }
    return best->first;
}

}  // namespace godwitbarrow::failover::detail
