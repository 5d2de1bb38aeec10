#include <gflags/gflags.h>

#include <cstdio>

#include "simulation.hpp"

DEFINE_uint64(seed, 20261204, "seed of the arrivals and service times");
DEFINE_uint64(seconds, 20, "virtual time of each run, in seconds");

namespace
{

using namespace godwitbarrow;
using namespace godwitbarrow::bench;

struct named_policy
{
    policy value;
    const char* name;
};
constexpr named_policy policies[] = {{policy::ranked, "ranked"},
                                     {policy::first_come_first_served, "fcfs"},
                                     {policy::primary_only, "primary_only"},
                                     {policy::equal_split, "equal_split"}};

double milliseconds_of(duration it)
{
    return std::chrono::duration<double, std::milli>(it).count();
}

double percent(std::size_t part, std::size_t whole)
{
    return whole == 0
               ? 0
               : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

double worth_kept(const deployment& of, const run_result& result)
{
    double kept = 0;
    double offered = 0;
    for (const auto n : core::all_ranks)
    {
        const auto& rank = result.ranks[core::index_of(n)];
        const double worth = of.worth[core::index_of(n)];
        kept += worth * static_cast<double>(rank.completed);
        offered += worth * static_cast<double>(rank.offered);
    }
    return offered > 0 ? 100 * kept / offered : 0;
}

void print_run(const deployment& of, const named_policy& by, const load& under,
               const run_result& result)
{
    const auto flood = under.all ? std::string("all")
                       : under.flood
                           ? std::string(core::to_string(*under.flood))
                           : std::string("none");
    for (const auto n : core::all_ranks)
    {
        const auto& rank = result.ranks[core::index_of(n)];
        std::printf(
            "%-13s %-12s %-11s %3.0fx %-11s %8zu %7.1f %8.1f %8.1f %7.1f "
            "%7.1f %6zu %4zu\n",
            of.name.c_str(), by.name, flood.c_str(), under.factor,
            std::string(core::to_string(n)).c_str(), rank.offered,
            percent(rank.completed, rank.offered),
            milliseconds_of(percentile(rank.latencies, 0.5)),
            milliseconds_of(percentile(rank.latencies, 0.99)),
            percent(result.reads_on_replicas, result.reads),
            worth_kept(of, result), rank.unknown, result.violations);
    }
}

// The share of the primary's executions that deferred work gets while all
// ranks flood. Interactive work runs on replicas, which it has to itself.
void print_minimum(const deployment& of, const run_result& result)
{
    const auto done = [&](core::rank n)
    {
        return result.ranks[core::index_of(n)].completed_under_load;
    };
    const auto deferred = done(core::rank::deferred);
    std::printf(
        "  deferred: %.1f %% of the primary's executions, minimum %.1f %%\n",
        percent(deferred, deferred + done(core::rank::urgent)),
        100 * of.minimum_share[core::index_of(core::rank::deferred)]);
}

std::vector<load> all_loads()
{
    std::vector<load> all{{std::nullopt, false, 1}};
    for (const auto n : core::all_ranks)
        for (const double factor : {2.0, 5.0})
            all.push_back({n, false, factor});
    all.push_back({std::nullopt, true, 2.0});
    all.push_back({std::nullopt, true, 5.0});
    return all;
}

}  // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "prints the service by rank under floods, for each policy");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::printf(
        "service by rank on the virtual clock; seed %lu, %lu s a run; "
        "kept: completed within the deadline, %% of offered; p50, p99: ms of "
        "completed requests; replicas: %% of reads; worth: %% kept\n",
        FLAGS_seed, FLAGS_seconds);
    std::printf("%-13s %-12s %-11s %4s %-11s %8s %7s %8s %8s %7s %7s %6s %4s\n",
                "deployment", "policy", "flood", "load", "rank", "offered",
                "kept", "p50", "p99", "replica", "worth", "unknwn", "viol");
    std::size_t violations = 0;
    for (const auto& of : {consortium(), dar_el_kalima()})
        for (const auto& by : policies)
            for (const auto& under : all_loads())
            {
                const auto result =
                    simulate(of, by.value, under,
                             std::chrono::seconds(FLAGS_seconds), FLAGS_seed);
                print_run(of, by, under, result);
                if (under.all && by.value == policy::ranked)
                    print_minimum(of, result);
                violations += result.violations;
            }
    return violations > 0 ? 1 : 0;
}
