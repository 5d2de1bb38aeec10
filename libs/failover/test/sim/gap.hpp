#pragma once

#include <string>
#include <vector>

#include "world.hpp"

/// Measures the service interruption during a failover, on the virtual clock.
namespace godwitbarrow::failover::sim
{

/// One-way latencies of the deployment of one user of the system.
struct deployment
{
    std::string name;
    microseconds between_centres;
    microseconds between_regions;
};

std::vector<deployment> deployments();

enum class primary_fault
{
    /// The process has terminated; connections are refused.
    killed,
    /// The machine is down; connections are not answered.
    silent,
    /// Disconnected from the other members; hosts still reach it (F1).
    partitioned
};

std::string to_string(primary_fault fault);

/// Phases of one service interruption. `detection` starts at the last write
/// that was confirmed in the old term; `first_write` ends at the first write
/// that was confirmed in the new term.
struct gap
{
    core::duration detection{};
    core::duration confirmation{};
    core::duration claiming{};
    core::duration fencing{};
    core::duration choice{};
    core::duration promotion{};
    core::duration first_write{};
    core::duration total{};
    /// No primary served within the time limit of the run.
    bool failed = false;
};

gap measure_gap(const simulation_config& config, primary_fault fault);

struct gap_row
{
    deployment where;
    primary_fault fault = primary_fault::killed;
    milliseconds store_delay{};
    std::size_t runs = 0;
    std::size_t failed = 0;
    /// Medians of the phases; `total` is the median of the totals.
    gap median;
    core::duration p99{};
    core::duration longest{};
};

gap_row measure_row(const deployment& where, primary_fault fault,
                    milliseconds store_delay, std::size_t runs,
                    std::uint64_t seed);
/// Prints one line per row; times are in milliseconds.
std::string format_rows(const std::vector<gap_row>& rows, std::uint64_t seed);

}  // namespace godwitbarrow::failover::sim
