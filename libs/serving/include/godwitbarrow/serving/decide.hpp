#pragma once

#include <optional>
#include <vector>

#include "godwitbarrow/serving/events.hpp"
#include "godwitbarrow/serving/state.hpp"

namespace godwitbarrow::serving
{

/// Applies one event and returns what has to be done, in order. Each
/// `request_arrived` leads to exactly one `answer` or `redirect`, now or
/// later. Request ids must be unique among the requests in progress.
std::vector<action> decide(group_state& state, const event& it,
                           core::time_point now);

/// When the next `tick` is due; absent if nothing waits for time to pass.
std::optional<core::time_point> next_wakeup(const group_state& state);

}  // namespace godwitbarrow::serving
