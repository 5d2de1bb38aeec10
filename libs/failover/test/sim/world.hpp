#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "godwitbarrow/failover/decide.hpp"

/// Simulation of one group on a virtual clock: hosts that run the decisions,
/// members that follow the replication rules of the design, the store and the
/// network.
namespace godwitbarrow::failover::sim
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// One-way latencies and the parameters of the simulation.
struct simulation_config
{
    std::uint64_t seed = 1;
    microseconds within_centre{200};
    microseconds between_centres{1000};
    microseconds between_regions{12000};
    /// Duration of one call of the store, and the deadline of its client. The
    /// deadline exceeds 2 s, the call duration of a slow store.
    milliseconds store_delay{10};
    milliseconds store_deadline{3000};
    /// Time for which a member holds a status poll.
    milliseconds poll_wait{250};
    milliseconds write_interval{10};
    milliseconds connect_timeout{300};
    milliseconds row_review_interval{300000};
    /// Whether hosts report failures of their data path.
    bool data_path_reports = true;
    /// Whether each host derives its role from the hosts that it reaches.
    bool automatic_roles = true;
};

/// Index of a node: hosts come first, then members, then the store.
using node = int;
constexpr int host_count = 4;
constexpr int member_count = 3;
constexpr node store_node = host_count + member_count;

constexpr node member_node(int m)
{
    return host_count + m;
}

struct log_entry
{
    core::term_number term = 0;
    std::uint64_t id = 0;
};

struct simulated_member
{
    core::member_status status;
    core::attempt_id attempt;
    /// Log position at the promotion of the primary of the followed term.
    core::log_number base = 0;
    int following = -1;
    core::time_point last_contact;
    /// At most one pull is outstanding at a time, as on one connection.
    std::uint64_t pull_number = 0;
    core::time_point pull_until;
    std::vector<log_entry> log;
    bool process_up = true;
    /// The machine is down: connections are not answered, not even refused.
    bool silent = false;
    /// Maximum number of entries that a replica receives in one pull.
    std::size_t pull_limit = 1000000;
};

struct simulated_host
{
    group_state state;
    bool alive = true;
    core::time_point died_at;
    bool paused = false;
    std::vector<std::function<void()>> inbox;
    core::time_point timer_at;
    int believed_coordinator = 0;
};

struct simulated_store
{
    versioned_row row;
    bool down = false;
    milliseconds delay{10};
    /// Number of writes that take effect but whose answers are lost.
    int answers_to_lose = 0;
    /// Called once before a write takes effect, to cause a conflict.
    std::function<void()> before_write;
};

struct logged_step
{
    core::time_point at;
    int host = 0;
    report_progress progress;
};

struct scheduled_task
{
    core::time_point at;
    std::uint64_t number = 0;
    std::function<void()> run;

    friend bool operator<(const scheduled_task& a, const scheduled_task& b)
    {
        return std::tie(b.at, b.number) < std::tie(a.at, a.number);
    }
};

struct commit_times
{
    core::time_point first;
    core::time_point last;
};

struct world
{
    simulation_config config;
    std::mt19937_64 random;
    core::time_point now{std::chrono::hours(1)};
    std::priority_queue<scheduled_task> event_queue;
    std::uint64_t last_task_number = 0;

    std::vector<simulated_host> hosts;
    std::vector<simulated_member> members;
    simulated_store store;
    std::set<std::pair<node, node>> cut_links;
    std::map<node, milliseconds> added_latency;

    std::uint64_t write_count = 0;
    std::vector<log_entry> committed;
    std::map<core::term_number, commit_times> commits;
    std::map<core::term_number, int> promoted;
    std::vector<logged_step> steps;
    std::vector<std::string> violations;
    /// Called for each action of a host before it is performed.
    std::function<void(int host, const action&)> on_action;
};

// world.cpp

/// Members at term 1 with member 0 as primary; the row exists.
std::unique_ptr<world> make_world(const simulation_config& config);
void run_for(world& w, core::duration length);
/// Runs until `done` returns true, for at most `limit`; returns whether it did.
bool run_until(world& w, core::duration limit,
               const std::function<bool()>& done);
void schedule(world& w, core::time_point t, std::function<void()> run);
void after(world& w, core::duration length, std::function<void()> run);
std::uint64_t random_below(world& w, std::uint64_t bound);

// network.cpp

void cut(world& w, node a, node b);
void heal(world& w, node a, node b);
void cut_off(world& w, node a, const std::vector<node>& others);
bool is_cut(const world& w, node a, node b);
void send(world& w, node from, node to, std::function<void()> run);
/// Sends a request to a member; `done` receives an error if no answer arrives
/// within `timeout`.
void ask_member(
    world& w, int host, int m, milliseconds timeout,
    const std::function<core::result<core::member_status>(simulated_member&)>&
        serve,
    const std::function<void(core::result<core::member_status>)>& done);

// members.cpp

core::server_id server_name(int m);
int member_index(const core::server_id& server);
bool answers(const simulated_member& member);
core::member_status status_of(const world& w, const simulated_member& member);
core::result<core::member_status> serve_fence(world& w, int m,
                                              core::term_number term,
                                              const core::attempt_id& attempt);
core::result<core::member_status> serve_promote(
    world& w, int m, core::term_number term, const core::attempt_id& attempt);
core::result<core::member_status> serve_follow(world& w, int m,
                                               core::term_number term,
                                               int primary);
void start_member(world& w, int m);

// hosts.cpp

core::host_id host_name(int h);
/// Calls `run` on the host: when it resumes if it is paused, never if it is
/// dead.
void deliver(world& w, int h, std::function<void()> run);
void process_event(world& w, int h, const event& input);
void start_host(world& w, int h);
/// Sets the roles explicitly; `automatic_roles` must be false.
void set_coordinators(world& w, const std::set<int>& hosts);

// store.cpp

void serve_read(world& w, int h);
void serve_write(world& w, int h, const write_row& request);

// checks.cpp

/// Records a violated rule; `run_until` stops at the first one.
void record_violation(world& w, const std::string& rule);
void check_promotion(world& w, int m);
void record_commits(world& w);
/// The only member that leads the highest term and currently confirms writes,
/// or -1.
int serving_primary(const world& w);
bool settled(const world& w);
std::string explain(const world& w);

// faults.cpp

void kill_member(world& w, int m, bool silent);
void restart_member(world& w, int m);
/// Disconnects a member from the other members; hosts still reach it.
void partition_member(world& w, int m);
void kill_host(world& w, int h);
/// A host must have been dead for `restart_delay`, so that all calls of its
/// former process have ended.
void restart_host(world& w, int h);
constexpr milliseconds restart_delay{4000};
void pause_host(world& w, int h);
void resume_host(world& w, int h);
void heal_all(world& w);
/// Injects one fault of the given kind; `length` is its duration.
void inject(world& w, unsigned kind, unsigned target, milliseconds length);
constexpr unsigned fault_kinds = 15;

}  // namespace godwitbarrow::failover::sim
