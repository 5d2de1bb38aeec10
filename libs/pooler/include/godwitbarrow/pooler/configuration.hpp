#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/core/position.hpp"
#include "godwitbarrow/core/request.hpp"

/// What the operator and the backend servers tell the pooler.
namespace godwitbarrow::pooler
{

/// How old the data of a read may be.
enum class read_policy
{
    /// Every commit that was acknowledged before the read.
    newest,
    /// Every commit that was acknowledged longer than `max_age` ago.
    bounded_age,
    /// As `bounded_age`, and every commit of the same session.
    own_writes
};

/// How the statements of one database are served.
struct route
{
    core::group_id group;
    read_policy reads = read_policy::newest;
    /// Zero on routes that read the newest data.
    std::chrono::milliseconds max_age{0};
    /// For one statement, from its arrival.
    std::chrono::milliseconds statement_timeout{0};
    /// Latency objective of a whole operation.
    std::chrono::milliseconds objective{0};
    core::rank importance = core::rank::deferred;
};

struct group_settings
{
    /// Connections that one member accepts from all hosts together.
    std::size_t max_connections = 1;
    /// Replicas that have received a commit before it is acknowledged.
    std::size_t synchronous_replicas = 0;
};

struct configuration
{
    std::uint64_t version = 0;
    /// By the name of the database that callers connect to.
    std::map<std::string, route> routes;
    std::map<core::group_id, group_settings> groups;
    /// A transaction that is idle for longer may be ended.
    std::chrono::milliseconds transaction_idle{0};
};

/// A backend server as it registered itself.
struct registration
{
    core::server_id server;
    core::group_id group;
    core::endpoint address;
    core::data_centre_id data_centre;
    /// Statements that it executes at a time.
    std::size_t slots = 1;
    bool leaving = false;
    /// Its own view, which may be outdated.
    core::member_role role = core::member_role::replica;
    /// Version of the registration; a later change has a higher one.
    std::uint64_t version = 0;
    /// Distinguishes starts of the server under the same name.
    std::uint64_t incarnation = 0;
};

}  // namespace godwitbarrow::pooler
