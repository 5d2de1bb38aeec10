#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/names.hpp"

/// Estimates of the load of backend servers from the outcome of statements that
/// were sent anyway, for a choice among servers that many hosts make at once.
namespace godwitbarrow::routing
{

struct load_settings
{
    /// Weight of a new sample in the moving averages.
    double sample_weight = 0.1;
    /// Without new samples, an estimate loses half of its distance from the
    /// mean of the group in this time.
    std::chrono::milliseconds half_life{2000};
    /// Added to the expected time in proportion to the share of statements that
    /// fail: the caller has to repeat its operation.
    std::chrono::milliseconds failure_cost{500};
    /// Each host varies its estimates by up to this share, so that hosts with
    /// the same estimates do not all choose the same server.
    double variation = 0.25;
    /// A host keeps its variation for this long, which keeps its connections in
    /// use.
    std::chrono::milliseconds variation_interval{500};
    /// Multiplies the expected work ahead on a server that is kept free for
    /// work that no other server can run.
    double reserved_factor = 2;
    /// Added to the expected time on such a server.
    std::chrono::milliseconds reserved_margin{30};
    /// Differences below this do not count, so that a host does not change its
    /// server, and its connections, for nothing.
    std::chrono::milliseconds resolution{5};
};

/// What one host has observed of a backend server.
struct load_estimate
{
    /// Shortest time from sending a statement to its answer.
    std::optional<core::duration> shortest;
    /// Moving average of the time beyond the shortest one: execution and the
    /// wait for statements of all hosts.
    core::duration busy_time{};
    /// Moving average of failures, 0 to 1.
    double failure_share = 0;
    std::optional<core::time_point> updated_at;
};

void record_success(load_estimate& it, const load_settings& settings,
                    core::duration took, core::time_point now);
/// For a statement that failed on the server or was not answered.
void record_failure(load_estimate& it, const load_settings& settings,
                    core::time_point now);

struct load_candidate
{
    core::server_id server;
    load_estimate load;
    /// Statements of this host that it is executing.
    std::size_t running = 0;
    /// Statements that it executes concurrently.
    std::size_t slots = 1;
    /// Time for the network beyond that to the nearest server of the group.
    core::duration network{};
    /// Kept free for work that no other server can run.
    bool reserved = false;
};

/// Returns the expected time of a statement on each candidate, in their order
/// and in multiples of `resolution`. Only differences between them have a
/// meaning. `self` selects the variation of the host.
std::vector<core::duration> expected_times(
    const std::vector<load_candidate>& candidates,
    const load_settings& settings, const core::host_id& self,
    core::time_point now);

}  // namespace godwitbarrow::routing
