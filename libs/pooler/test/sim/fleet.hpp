#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "godwitbarrow/model/group.hpp"
#include "godwitbarrow/model/oracle.hpp"
#include "godwitbarrow/pooler/decide.hpp"

/// Simulation of hosts that share one group, with callers and fault injection,
/// on a virtual clock.
namespace godwitbarrow::pooler::sim
{

using namespace std::chrono_literals;

constexpr std::size_t host_count = 3;
constexpr std::size_t caller_count = 9;

/// A connection of a host to a member.
struct link
{
    core::server_id server;
    model::session_number session = 0;
    std::deque<query> arrived;
    bool running = false;
    /// Messages in both directions are dropped.
    bool silent = false;
    /// Answers to statements that run from now on are dropped.
    bool loses_answers = false;
};
using link_ptr = std::shared_ptr<link>;

struct host
{
    state pooler;
    /// Incremented by each restart; messages in transit to an earlier
    /// incarnation are dropped.
    unsigned start = 1;
    core::time_point frozen_until{};
    /// Time of the last scheduled arrival, which keeps events in the order in
    /// which they were sent.
    core::time_point last_arrival{};
    std::deque<event> held;
    /// Version of the newest registrations that arrived.
    std::uint64_t registered = 0;
    std::map<connection_number, link_ptr> links;
};

struct caller
{
    std::string database;
    std::size_t host = 0;
    /// Number of its current session; each session gets a new one.
    std::uint64_t session = 0;
    bool accepted = false;
    bool waiting = false;
    bool in_transaction = false;
    core::time_point last_arrival{};
    std::deque<statement> script;
};

struct fleet
{
    explicit fleet(std::uint32_t seed);

    core::time_point now{1000s};
    std::mt19937 random;
    model::group group;
    model::oracle oracle;
    std::array<host, host_count> hosts;
    std::array<caller, caller_count> callers;
    std::multimap<core::time_point, std::function<void()>> due;
    /// Members whose registrations say that they are leaving.
    std::set<core::server_id> leaving;
    /// Delay with which registrations reach hosts.
    std::chrono::milliseconds registry_lag{50};
    std::uint64_t registered = 0;
    std::uint64_t last_session = 0;
    std::uint64_t last_id = 0;
    std::uint64_t succeeded = 0;
    /// Description of the last request that failed.
    std::string last_failure;
    /// Whether members accept connections.
    bool reachable = true;
};

/// Starts a script of statements; has no effect unless the caller is idle.
void start_script(fleet& it, std::size_t caller, std::deque<statement> script);
void disconnect_caller(fleet& it, std::size_t caller);

void run_for(fleet& it, core::duration time);

void promote(fleet& it, const core::server_id& to);
void crash_member(fleet& it, const core::server_id& server, bool silently);
void start_members(fleet& it);
void restart_host(fleet& it, std::size_t host);
void freeze_host(fleet& it, std::size_t host, core::duration time);
void break_links(fleet& it, std::size_t host, bool silently);
void lose_answers(fleet& it, std::size_t host);

/// Publishes the registrations of all members with their own view of roles.
void publish(fleet& it);

/// Clears all injected faults.
void clear_faults(fleet& it);

}  // namespace godwitbarrow::pooler::sim
