#pragma once

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/pooler/events.hpp"
#include "godwitbarrow/pooler/state.hpp"

/// Multiplexes caller sessions over shared connections to backend servers.
/// Sans I/O.
namespace godwitbarrow::pooler
{

/// Handles one event and returns the actions to perform, in order.
actions decide(state& it, const event& what, core::time_point now);

/// State of the primary of a group as observed by this host.
struct primary_view
{
    std::optional<core::server_id> server;
    /// The primary failed and has not answered since, or the group has had no
    /// known primary for `search_limit`.
    bool unreachable = false;
    /// Time since its last answer, if it is unreachable.
    core::duration unreachable_for{};
    /// Term of its newest known log position; 0 if none is known.
    core::term_number newest_term = 0;
    bool leaving = false;
};

primary_view view_primary(const state& it, const core::group_id& group,
                          core::time_point now);

/// Whether the host has a configuration and at least one member, and is not
/// shutting down.
bool is_ready(const state& it);

/// Whether periodic `timer_tick` events are needed now.
bool needs_ticks(const state& it);

/// Number of sessions that are still open.
std::size_t open_sessions(const state& it);

}  // namespace godwitbarrow::pooler
