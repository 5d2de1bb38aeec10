#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "database_model.hpp"
#include "godwitbarrow/serving/decide.hpp"

/// Two hosts that own the servers of the model, on a virtual clock, with the
/// callers' requests and what the callers were told.
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

enum class told
{
    nothing,
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
    told result = told::nothing;
    int answers = 0;
    /// Writes acknowledged to the session before the request was made.
    std::vector<std::string> must_see;
};

struct session_model
{
    std::string name;
    std::optional<core::log_position> token;
    std::vector<std::string> acknowledged;
    std::optional<core::transaction_id> transaction;
    std::size_t transaction_host = 0;
};

struct host_model
{
    serving::group_state state;
    unsigned run = 0;
    std::set<serving::connection_number> open;
    std::set<serving::connection_number> silent;
    std::set<core::server_id> leaving;
    std::array<bool, member_count> cut{};
    /// Hears of no view from peers or the store.
    bool isolated = false;
    core::time_point ticked;
    int ticks = 0;
};

constexpr std::size_t host_count = 2;
constexpr std::size_t session_count = 4;
constexpr std::size_t slots = 2;
constexpr std::size_t connections = 8;

struct world
{
    core::time_point now{1000s};
    database_model model;
    std::array<host_model, host_count> hosts;
    std::array<session_model, session_count> sessions;
    std::map<core::request_id, call> calls;
    /// Operations in the order in which any caller learned of them.
    std::vector<std::pair<core::time_point, std::string>> acknowledged;
    std::multimap<core::time_point, std::function<void()>> schedule;
    std::deque<fault> faults;
    std::array<bool, member_count> paused{};
    std::uint64_t random = 0;
    std::uint64_t next_id = 0;

    explicit world(std::uint64_t seed);

    // Time.
    core::duration::rep draw(std::uint64_t below);
    void after(core::duration delay, std::function<void()> what);
    void run_for(core::duration time);
    void step_background();
    void poll(std::size_t host, std::size_t member);

    // Hosts.
    void start_host(std::size_t host);
    void restart_host(std::size_t host);
    void give(std::size_t host, const serving::event& event);
    void perform(std::size_t host, const serving::answer& it);
    void perform(std::size_t host, const serving::redirect& it);
    void perform(std::size_t host, const serving::send_statement& it);
    void perform(std::size_t host, const serving::open_connection& it);
    void perform(std::size_t host, const serving::close_connection& it);
    void perform(std::size_t host, const serving::probe_connection& it);
    void perform(std::size_t host, const serving::refresh_view& it);
    void perform(std::size_t host, const serving::report_suspicion& it);
    void tell_view(std::size_t host, core::duration delay);
    /// Runs the event later unless the host has restarted by then.
    void later(std::size_t host, core::duration delay,
               const serving::event& event);

    // Callers.
    call& issue(std::size_t session, std::size_t host, std::size_t member,
                core::request request);
    void settle(call& it, told result);
    void complete(call& it, const core::completed& result);

    // Oracle.
    void violate(const std::string& what);
    void check_send(std::size_t host, const serving::send_statement& it);
    void check_read(const call& it, const core::completed& result);
    void check_acknowledged(const call& it);
    void heal();
    void check_end();
    void check_write(const std::string& operation,
                     const std::vector<const call*>& calls);
    void check_transaction(const std::vector<const call*>& calls);
    int count_in_log(const std::string& operation) const;
};

}  // namespace godwitbarrow::test
