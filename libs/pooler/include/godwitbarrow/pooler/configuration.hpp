#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/core/position.hpp"
#include "godwitbarrow/core/request.hpp"
#include "godwitbarrow/workspaces/directory.hpp"

/// Configuration set by the operator and registrations of backend servers.
namespace godwitbarrow::pooler
{

/// Staleness that a read tolerates.
enum class read_policy
{
    /// The read sees every commit acknowledged before it.
    newest,
    /// The read sees every commit acknowledged longer than `max_age` ago.
    bounded_age,
    /// As `bounded_age`, and every commit of the same session.
    own_writes
};

/// Routing and limits of the statements of one database.
struct route
{
    core::group_id group;
    read_policy reads = read_policy::newest;
    /// Zero on routes that read the newest data.
    std::chrono::milliseconds max_age{0};
    /// Timeout of one statement, measured from its arrival.
    std::chrono::milliseconds statement_timeout{0};
    /// Latency objective of a whole operation.
    std::chrono::milliseconds objective{0};
    core::rank importance = core::rank::deferred;
    /// Whether callers without a valid key are admitted.
    bool open = false;
};

struct group_settings
{
    /// Connections that one member accepts from all hosts in total.
    std::size_t max_connections = 1;
    /// Replicas that have received a commit before it is acknowledged.
    std::size_t synchronous_replicas = 0;
};

struct configuration
{
    std::uint64_t version = 0;
    /// Keyed by the name of the database that callers connect to.
    std::map<std::string, route> routes;
    std::map<core::group_id, group_settings> groups;
    /// A transaction that is idle for longer may be rolled back.
    std::chrono::milliseconds transaction_idle{0};
    workspaces::directory workspaces;
};

/// A backend server as it registered itself.
struct registration
{
    core::server_id server;
    core::group_id group;
    core::endpoint address;
    core::data_centre_id data_centre;
    /// Statements that it executes concurrently.
    std::size_t slots = 1;
    bool leaving = false;
    /// Role as the server itself reports it, which may be outdated.
    core::member_role role = core::member_role::replica;
    /// Version of the registration; a later change has a higher one in the same
    /// era of the store.
    std::uint64_t version = 0;
    /// Rises when the store is restored from a copy.
    std::uint64_t era = 0;
    /// Distinguishes restarts of the server under the same name.
    std::uint64_t incarnation = 0;
};

/// Version of a registration, comparable across eras of the store.
struct record_version
{
    std::uint64_t era = 0;
    std::uint64_t number = 0;
};

inline record_version version_of(const registration& it)
{
    return {it.era, it.version};
}

inline bool operator<(const record_version& a, const record_version& b)
{
    return std::tie(a.era, a.number) < std::tie(b.era, b.number);
}

}  // namespace godwitbarrow::pooler
