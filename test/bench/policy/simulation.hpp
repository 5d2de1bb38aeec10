#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "godwitbarrow/core/request.hpp"

/// Open-loop load on one group of three members, on a virtual clock, with the
/// decisions of the proxy and a model of the backend servers.
namespace godwitbarrow::bench
{

using core::duration;

/// Latencies and limits of a user's installation.
struct deployment
{
    std::string name;
    duration between_places;
    duration to_clients;
    std::size_t slots = 0;
    std::size_t connections = 0;
    duration connect_time;
    /// Mean time that a statement holds a slot; exponentially distributed.
    duration service_time;
    duration replication_lag;
    std::array<double, core::rank_count> worth{};
    std::array<std::chrono::milliseconds, core::rank_count> deadline{};
    std::array<double, core::rank_count> minimum_share{};
    std::size_t reserved_slots = 0;
};

enum class policy
{
    ranked,
    first_come_first_served,
    primary_only,
    /// Each of the four hosts uses its part of the slots and connections.
    equal_split
};

struct load
{
    /// Rank that floods, or none.
    std::optional<core::rank> flood;
    /// All ranks flood.
    bool all = false;
    /// Load of the flooding rank as a multiple of the capacity that serves it.
    double factor = 1;
};

struct rank_result
{
    std::size_t offered = 0;
    /// Answered `completed` within the deadline.
    std::size_t completed = 0;
    /// Completed before the arrivals ended.
    std::size_t completed_under_load = 0;
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    std::vector<duration> latencies;
};

struct run_result
{
    std::array<rank_result, core::rank_count> ranks;
    std::size_t reads = 0;
    std::size_t reads_on_replicas = 0;
    /// Requests that got no answer or more than one, and reads behind their
    /// token or age bound.
    std::size_t violations = 0;
};

deployment consortium();
deployment dar_el_kalima();

run_result simulate(const deployment& of, policy by, const load& under,
                    std::chrono::seconds time, std::uint64_t seed);

duration percentile(std::vector<duration> values, double share);

}  // namespace godwitbarrow::bench
