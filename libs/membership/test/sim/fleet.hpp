#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "godwitbarrow/membership/decide.hpp"

/// A model of a fleet on a virtual clock: hosts that run the decisions, the
/// platform's host list and a network that can cut regions off.
namespace godwitbarrow::membership::sim
{

using std::chrono::milliseconds;

struct shape
{
    std::size_t hosts = 4;
    std::size_t centres = 3;
    std::size_t regions = 2;
    std::uint64_t seed = 1;
};

struct timed
{
    core::time_point at;
    std::uint64_t number = 0;
    std::function<void()> run;

    friend bool operator<(const timed& a, const timed& b)
    {
        return std::tie(b.at, b.number) < std::tie(a.at, a.number);
    }
};

struct model_host
{
    host_entry entry;
    state known;
    bool alive = true;
    std::size_t region = 0;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    /// Peers contacted without having been asked, in the current second.
    std::vector<core::host_id> contacted;
    std::size_t most_contacted = 0;
    std::vector<core::host_id> usable;
    std::map<core::host_id, std::vector<core::server_id>> unreachable;
    std::vector<core::server_id> leaving_servers;
    std::size_t largest_message = 0;
};

struct fleet
{
    std::mt19937_64 random;
    core::time_point now{std::chrono::hours(1)};
    std::priority_queue<timed> agenda;
    std::uint64_t scheduled = 0;
    std::vector<model_host> hosts;
    std::map<core::host_id, std::size_t> index;
    host_list list;
    bool store_down = false;
    std::uint64_t list_reads = 0;
    /// Region that cannot exchange messages with the others.
    int cut_region = -1;
    /// Host that cannot exchange messages with any other.
    int cut_host = -1;
};

std::unique_ptr<fleet> make_fleet(const shape& how);
void run_for(fleet& f, core::duration length);
void feed(fleet& f, std::size_t h, const event& what);
/// Virtual time until `done` holds at all hosts that are alive; checked every
/// 50 ms. `limit` if it does not.
core::duration time_until(fleet& f, core::duration limit,
                          const std::function<bool(const model_host&)>& done);
void reset_counters(fleet& f);
void kill_host(fleet& f, std::size_t h);

}  // namespace godwitbarrow::membership::sim
