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

/// A model of one group on a virtual clock: hosts that run the decisions,
/// members with the replication rules of the design, the store and the network.
namespace godwitbarrow::failover::sim
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// One-way latencies, and how the model is driven.
struct conditions
{
    std::uint64_t seed = 1;
    microseconds within_centre{200};
    microseconds between_centres{1000};
    microseconds between_regions{12000};
    /// Time of one call of the store, and the deadline of its client. The
    /// deadline exceeds 2 s, the call time of a slow store.
    milliseconds store_delay{10};
    milliseconds store_deadline{3000};
    /// Time that a member holds a status poll.
    milliseconds poll_wait{250};
    milliseconds write_interval{10};
    milliseconds connect_timeout{300};
    milliseconds row_review{300000};
    /// Hosts report failures of their data path.
    bool data_path_reports = true;
    /// Roles follow the hosts that each host reaches.
    bool automatic_roles = true;
};

/// Hosts come first, then members, then the store.
using node = int;
constexpr int host_count = 4;
constexpr int member_count = 3;
constexpr node store_node = host_count + member_count;

constexpr node member_node(int m)
{
    return host_count + m;
}

struct entry
{
    core::term_number term = 0;
    std::uint64_t id = 0;
};

struct model_member
{
    core::member_status status;
    core::attempt_id attempt;
    /// Log position at the promotion of the term that is followed.
    core::log_number base = 0;
    int following = -1;
    core::time_point last_contact;
    /// One pull is under way at a time, as on one connection.
    std::uint64_t pull_number = 0;
    core::time_point pull_until;
    std::vector<entry> log;
    bool process_up = true;
    /// The machine is gone: connections are not even refused.
    bool silent = false;
    /// Entries that a replica takes in one pull.
    std::size_t pull_limit = 1000000;
};

struct model_host
{
    group_state state;
    bool alive = true;
    core::time_point died_at;
    bool paused = false;
    std::vector<std::function<void()>> inbox;
    core::time_point timer_at;
    int believed_coordinator = 0;
};

struct model_store
{
    versioned_row row;
    bool down = false;
    milliseconds delay{10};
    /// Writes whose effect stays and whose answer gets lost.
    int answers_to_lose = 0;
    /// Runs before a write takes effect, to provoke conflicts.
    std::function<void()> before_write;
};

struct logged_step
{
    core::time_point at;
    int host = 0;
    report_progress what;
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

struct commit_mark
{
    core::time_point first;
    core::time_point last;
};

struct world
{
    conditions how;
    std::mt19937_64 random;
    core::time_point now{std::chrono::hours(1)};
    std::priority_queue<timed> agenda;
    std::uint64_t scheduled = 0;

    std::vector<model_host> hosts;
    std::vector<model_member> members;
    model_store store;
    std::set<std::pair<node, node>> cuts;
    std::map<node, milliseconds> slowness;

    std::uint64_t written = 0;
    std::vector<entry> committed;
    std::map<core::term_number, commit_mark> commits;
    std::map<core::term_number, int> promoted;
    std::vector<logged_step> steps;
    std::vector<std::string> violations;
    /// Called for each action of a host before it is performed.
    std::function<void(int host, const action&)> watch;
};

// world.cpp

/// Members at term 1 with member 0 as primary; the row exists.
std::unique_ptr<world> make_world(const conditions& how);
void run_for(world& w, core::duration length);
/// Runs until `done` or for `limit`; returns whether `done` came true.
bool run_until(world& w, core::duration limit,
               const std::function<bool()>& done);
void schedule(world& w, core::time_point t, std::function<void()> run);
void after(world& w, core::duration length, std::function<void()> run);
std::uint64_t draw(world& w, std::uint64_t bound);

// network.cpp

void cut(world& w, node a, node b);
void heal(world& w, node a, node b);
void cut_off(world& w, node a, const std::vector<node>& others);
bool is_cut(const world& w, node a, node b);
void send(world& w, node from, node to, std::function<void()> run);
/// Ask a member; `done` gets an error if no answer comes in time.
void ask_member(
    world& w, int host, int m, milliseconds timeout,
    const std::function<core::result<core::member_status>(model_member&)>&
        serve,
    const std::function<void(core::result<core::member_status>)>& done);

// members.cpp

core::server_id server_name(int m);
int member_index(const core::server_id& it);
bool answers(const model_member& it);
core::member_status status_of(const world& w, const model_member& it);
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
/// Runs `run` on the host, later if it is paused, never if it is dead.
void deliver(world& w, int h, std::function<void()> run);
void feed(world& w, int h, const event& it);
void start_host(world& w, int h);
/// Sets the roles by hand; `automatic_roles` has to be off.
void set_coordinators(world& w, const std::set<int>& hosts);

// store.cpp

void serve_read(world& w, int h);
void serve_write(world& w, int h, const write_row& it);

// checks.cpp

/// Records that a rule was broken; `run_until` stops then.
void violate(world& w, const std::string& rule);
void check_promotion(world& w, int m);
void record_commits(world& w);
/// The only member that leads the highest term and confirms writes now, or -1.
int serving_primary(const world& w);
bool settled(const world& w);
std::string explain(const world& w);

// faults.cpp

void kill_member(world& w, int m, bool silent);
void restart_member(world& w, int m);
/// Cuts a member off from the other members; hosts still reach it.
void partition_member(world& w, int m);
void kill_host(world& w, int h);
/// A host has to be dead for `rest` first, so that all calls of its former
/// process have ended.
void restart_host(world& w, int h);
constexpr milliseconds rest{4000};
void pause_host(world& w, int h);
void resume_host(world& w, int h);
void heal_all(world& w);
/// Injects one fault of the given kind, for a while.
void inject(world& w, unsigned kind, unsigned target, milliseconds length);
constexpr unsigned fault_kinds = 15;

}  // namespace godwitbarrow::failover::sim
