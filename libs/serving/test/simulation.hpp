#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "database_model.hpp"
#include "godwitbarrow/serving/decide.hpp"

/// Simulation of two hosts that own the servers of the database model, on a
/// virtual clock. Records the requests of the callers and their answers.
namespace godwitbarrow::test
{

using namespace std::chrono_literals;

enum class fault
{
    none,
    slow,
    request_lost,
    reply_lost,
    reset_before_send,
    reset_before_run,
    reset_after_run,
    wrong_reply,
    busy,
    rejected
};
constexpr int fault_count = 10;

enum class call_result
{
    pending,
    completed,
    not_run,
    unknown
};

/// One request and its answer.
struct call
{
    core::request request;
    std::size_t session = 0;
    std::size_t host = 0;
    call_result result = call_result::pending;
    /// Answered that the transaction was rolled back.
    bool rolled_back = false;
    int answers = 0;
    /// Writes acknowledged to the session before this request was issued.
    std::vector<std::string> expected_operations;
};

struct session_model
{
    std::string name;
    std::optional<core::log_position> token;
    std::vector<std::string> acknowledged;
    std::optional<core::transaction_id> transaction;
    std::optional<core::transaction_id> last_transaction;
    std::size_t transaction_host = 0;
};

struct host_model
{
    serving::group_state state;
    unsigned incarnation = 0;
    std::set<serving::connection_number> open;
    std::set<serving::connection_number> unresponsive;
    std::set<core::server_id> leaving;
    std::array<bool, member_count> cut{};
    /// Receives no view from peers or the store.
    bool isolated = false;
    core::time_point last_tick;
    int repeated_ticks = 0;
};

constexpr std::size_t host_count = 2;
constexpr std::size_t session_count = 4;
constexpr std::size_t slots = 2;
constexpr std::size_t connections = 8;

struct simulation
{
    core::time_point now{1000s};
    database_model model;
    std::array<host_model, host_count> hosts;
    std::array<session_model, session_count> sessions;
    std::map<core::request_id, call> calls;
    /// Operations in the order in which they were acknowledged to any caller.
    std::vector<std::pair<core::time_point, std::string>> acknowledged;
    std::multimap<core::time_point, std::function<void()>> schedule;
    std::deque<fault> faults;
    std::array<bool, member_count> paused{};
    std::uint64_t random = 0;
    std::uint64_t next_id = 0;

    explicit simulation(std::uint64_t seed);

    // Time.
    core::duration::rep random_below(std::uint64_t below);
    void schedule_after(core::duration delay, std::function<void()> task);
    void run_for(core::duration time);
    void replicate_periodically();
    void poll_member(std::size_t host, std::size_t member);

    // Hosts.
    void start_host(std::size_t host);
    void restart_host(std::size_t host);
    void deliver(std::size_t host, const serving::event& event);
    void perform(std::size_t host, const serving::answer& action);
    void perform(std::size_t host, const serving::redirect& action);
    void perform(std::size_t host, const serving::send_statement& action);
    void perform(std::size_t host, const serving::open_connection& action);
    void perform(std::size_t host, const serving::close_connection& action);
    void perform(std::size_t host, const serving::probe_connection& action);
    void perform(std::size_t host, const serving::refresh_view& action);
    void perform(std::size_t host, const serving::report_suspicion& action);
    void deliver_view(std::size_t host, core::duration delay);
    /// Delivers the event after the delay unless the host has restarted by
    /// then.
    void deliver_later(std::size_t host, core::duration delay,
                       const serving::event& event);

    // Callers.
    call& issue(std::size_t session, std::size_t host, std::size_t member,
                core::request request);
    void record_result(call& issued, call_result result);
    void record_completion(call& issued, const core::completed& result);

    // Checks of the answers.
    void report_violation(const std::string& message);
    void check_send(std::size_t host, const serving::send_statement& sent);
    void check_read(const call& issued, const core::completed& result);
    void check_acknowledged(const call& issued);
    void clear_faults();
    void check_service(std::size_t host);
    void check_end();
    void check_write(const std::string& operation,
                     const std::vector<const call*>& calls);
    void check_transaction(const std::vector<const call*>& calls);
    int count_in_log(const std::string& operation) const;
};

}  // namespace godwitbarrow::test
