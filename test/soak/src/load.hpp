#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "deployment.hpp"
#include "fleet.hpp"
#include "godwitbarrow/platform/member_wire.hpp"
#include "godwitbarrow/stream/connection.hpp"

/// Callers with sessions, transactions, values and prepared statements.
namespace soak
{

namespace platform = godwitbarrow::platform;
namespace stream = godwitbarrow::stream;

struct caller
{
    std::size_t number = 0;
    std::string database;
    std::size_t host = 0;
    /// New for each session; 0 between two sessions.
    std::uint64_t session = 0;
    stream::connection_ptr link;
    platform::partial_answer partial;
    bool started = false;
    bool waiting = false;
    bool in_transaction = false;
    std::deque<std::string> script;
    /// Operations until the session ends.
    unsigned operations = 0;
    core::time_point asked;
};

/// A statement that arrives this shortly before a host ends may be broken off.
constexpr std::chrono::milliseconds cut_slack{200};

struct service_count
{
    std::uint64_t asked = 0;
    std::uint64_t served = 0;
};

struct load
{
    load(deployment& d, fleet& f, std::uint32_t seed)
        : around(d), hosts(f), random(seed)
    {
    }

    deployment& around;
    fleet& hosts;
    std::mt19937 random;
    std::vector<std::unique_ptr<caller>> callers;
    std::uint64_t last_session = 0;
    std::uint64_t last_id = 0;
    /// Statements by database, since the last reset of the counters.
    std::map<std::string, service_count> served;
    /// Sessions that ended before a statement was answered that a member ran or
    /// that the host had for longer than `cut_slack`.
    std::uint64_t cut = 0;
    bool stopped = false;
};

void start_load(load& it, std::size_t callers_of_each_database);

/// Callers end their sessions and start none.
void stop_load(load& it);

}  // namespace soak
