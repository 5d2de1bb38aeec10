#pragma once

#include <cstddef>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/membership/events.hpp"
#include "godwitbarrow/membership/state.hpp"

namespace godwitbarrow::membership
{

/// Applies one event and returns what the caller has to do, in order. Needs a
/// `tick` at least every `limits::tick_interval`. A state that `make_state` has
/// not filled ignores all events.
std::vector<action> decide(state& it, const event& what, core::time_point now);

/// A state that knows only this host and the peers named in the settings.
state make_state(const host_entry& self, const std::vector<host_entry>& seeds,
                 core::time_point now);

/// Estimate of the encoded size, in bytes.
std::size_t size_of(const news& it);
std::size_t size_of(const summary& it);
std::size_t size_of(const news_request& it);

}  // namespace godwitbarrow::membership
