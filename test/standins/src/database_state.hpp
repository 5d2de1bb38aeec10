#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/http/link.hpp"
#include "godwitbarrow/standins/database.hpp"
#include "godwitbarrow/standins/http_server.hpp"
#include "godwitbarrow/standins/member_state.hpp"
#include "godwitbarrow/standins/statements.hpp"

namespace godwitbarrow::standins
{

/// Returns when to try again, or nothing when it has finished.
using attempt_function = std::function<std::optional<core::time_point>()>;

struct waiter
{
    explicit waiter(const boost::asio::any_io_executor& executor)
        : timer(executor)
    {
    }

    core::timer timer;
    attempt_function attempt;
};

struct database
{
    database(const boost::asio::any_io_executor& e, database_options o)
        : executor(e), options(std::move(o)), pull_timer(e)
    {
    }

    boost::asio::any_io_executor executor;
    database_options options;
    member_state member;
    http_server_ptr server;
    /// Connections that count towards the limit, with their transactions.
    std::map<std::uint64_t, std::optional<transaction>> clients;
    std::size_t running = 0;
    std::set<std::shared_ptr<waiter>> waiters;
    bool stopped = false;

    bool replication_paused = false;
    bool links_cut = false;
    std::chrono::milliseconds answer_delay{0};

    /// Connection to the member that is pulled from.
    http::link_ptr pull_link;
    std::string pull_from;
    core::timer pull_timer;
    std::size_t next_candidate = 0;
};

/// Calls `attempt` now, after each change of the member and at the times that
/// it returns, until it has finished.
void wait_for(const database_ptr& it, attempt_function attempt);

/// Wakes everything that waits for a change of the member.
void notify_change(const database_ptr& it);

/// Pulls from the primary until the database stops.
void start_replication(const database_ptr& it);

/// Ends a pull in flight, so that a change of the primary takes effect at once.
void wake_replication(const database_ptr& it);

}  // namespace godwitbarrow::standins
