#pragma once

#include <optional>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/failover/events.hpp"
#include "godwitbarrow/failover/state.hpp"

namespace godwitbarrow::failover
{

/// Applies one event and returns what the caller has to do, in order.
std::vector<action> decide(group_state& state, const event& it,
                           core::time_point now);

/// When `decide` needs the next `tick`, at the latest.
std::optional<core::time_point> next_wakeup(const group_state& state);

/// A state for a group whose members are known and nothing else.
group_state make_group(const core::group_id& group, const core::host_id& self,
                       const std::vector<core::server_id>& members,
                       core::time_point now);

}  // namespace godwitbarrow::failover
