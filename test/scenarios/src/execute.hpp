#pragma once

#include <atomic>
#include <list>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "client.hpp"
#include "oracle.hpp"
#include "script.hpp"

/// Performs the steps of a scenario on real processes.
namespace scenario
{

/// Requests that run beside the following steps.
struct background_load
{
    std::string name;
    std::atomic<bool> stop{false};
    std::vector<std::thread> threads;
    std::mutex mutex;
    std::map<std::string, std::size_t> outcomes;
    /// Longest time between two completed requests, in milliseconds.
    std::chrono::milliseconds longest_gap{0};
};

struct run_state
{
    cluster processes;
    oracle writes;
    std::map<std::string, session> sessions;
    std::list<background_load> loads;
    std::atomic<std::uint64_t> next_value{1};
    /// Names from `remember`.
    std::map<std::string, std::string> remembered;
    bool print = false;
};

/// Performs one step. Returns the failures; none if all expectations hold.
std::vector<std::string> execute(run_state& it, const step& what);

/// Stops the loads that are still running.
void stop_loads(run_state& it);

}  // namespace scenario
