#pragma once

#include <optional>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/failover/events.hpp"
#include "godwitbarrow/failover/state.hpp"

namespace godwitbarrow::failover
{

/// Applies one event to the group state and returns the actions that the caller
/// must perform, in order.
std::vector<action> decide(group_state& state, const event& input,
                           core::time_point now);

/// Latest time at which `decide` needs the next `tick`.
std::optional<core::time_point> next_wakeup(const group_state& state);

/// Creates the state of a group of which only the members are known.
group_state make_group(const core::group_id& group, const core::host_id& self,
                       const std::vector<core::server_id>& members,
                       core::time_point now);

}  // namespace godwitbarrow::failover
