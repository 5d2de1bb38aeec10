#include <gflags/gflags.h>

#include <iostream>

#include "sim/gap.hpp"

using namespace godwitbarrow::failover;

DEFINE_uint64(seed, 20261204, "Seed of the first run; each run adds one.");
DEFINE_uint64(runs, 200, "Failovers for each row of the table.");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Prints the gap in service during a failover.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::vector<sim::gap_row> rows;
    for (const auto& where : sim::deployments())
        for (const auto store :
             {std::chrono::milliseconds(10), std::chrono::milliseconds(2000)})
            for (const auto fault :
                 {sim::primary_fault::killed, sim::primary_fault::silent,
                  sim::primary_fault::partitioned})
                rows.push_back(sim::measure_row(where, fault, store, FLAGS_runs,
                                                FLAGS_seed));
    std::cout << sim::format_rows(rows, FLAGS_seed);
    return 0;
}
