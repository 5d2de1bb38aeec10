#pragma once

#include <optional>
#include <vector>

#include "godwitbarrow/serving/events.hpp"
#include "godwitbarrow/serving/state.hpp"

namespace godwitbarrow::serving
{

/// Applies one event to the state and returns the actions to carry out, in
/// order. Each `request_arrived` leads to exactly one `answer` or `redirect`,
/// from this call or a later one. Request ids must be unique among the requests
/// in progress.
std::vector<action> decide(group_state& state, const event& event,
                           core::time_point now);

/// Time at which the next `tick` is due; empty if no timer is running.
std::optional<core::time_point> next_wakeup(const group_state& state);

}  // namespace godwitbarrow::serving
