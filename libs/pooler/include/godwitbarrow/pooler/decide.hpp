#pragma once

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/pooler/events.hpp"
#include "godwitbarrow/pooler/state.hpp"

/// Sessions of callers over shared connections of backend servers. Sans I/O.
namespace godwitbarrow::pooler
{

/// Handles one event and returns what is to be done, in this order.
actions decide(state& it, const event& what, core::time_point now);

/// What this host sees of the primary of a group.
struct primary_view
{
    std::optional<core::server_id> server;
    /// It failed and did not answer since, or there is none for some time.
    bool unreachable = false;
    /// How long ago it last answered, if it is unreachable.
    core::duration unreachable_for{};
    bool leaving = false;
};

primary_view view_primary(const state& it, const core::group_id& group,
                          core::time_point now);

/// Whether the host has a configuration and a member to serve with.
bool is_ready(const state& it);

/// Whether `timer_tick` events are needed now.
bool needs_ticks(const state& it);

/// Sessions that are still open.
std::size_t open_sessions(const state& it);

}  // namespace godwitbarrow::pooler
