#pragma once

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/pooler/events.hpp"
#include "godwitbarrow/pooler/state.hpp"

/// Sessions of callers over shared connections of backend servers. Sans I/O.
namespace godwitbarrow::pooler
{

/// Handles one event and returns what is to be done, in this order.
actions decide(state& it, const event& what, core::time_point now);

/// Whether the host has a configuration and a member to serve with.
bool is_ready(const state& it);

/// Whether `time_passed` events are needed now.
bool needs_ticks(const state& it);

/// Sessions that are still open.
std::size_t open_sessions(const state& it);

}  // namespace godwitbarrow::pooler
