#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/core/request.hpp"
#include "godwitbarrow/settings/file_set.hpp"

/// The settings of the fleet, merged from the files of one folder.
namespace godwitbarrow::settings
{

struct platform_settings
{
    core::endpoint address;
    /// Deadline of each call.
    std::chrono::milliseconds timeout{2000};
};

struct data_centre
{
    core::region_id region;
    /// One-way latency to other data centres, where configured.
    std::map<core::data_centre_id, std::chrono::microseconds> latency;
};

struct host
{
    /// IP address that the host listens on and that its peers connect to.
    std::string address;
    std::uint16_t caller_port = 0;
    std::uint16_t peer_port = 0;
    /// Serves health checks, metrics and the admin API.
    std::uint16_t admin_port = 0;
    /// IP address of the admin port; a loopback address makes it unreachable
    /// from the network.
    std::string admin_address = "127.0.0.1";
    core::data_centre_id data_centre;
};

struct group
{
    std::string description;
    /// The backend servers assigned to this group, sorted by name.
    std::vector<core::server_id> members;
};

struct backend_server
{
    core::group_id group;
    core::endpoint address;
    core::data_centre_id data_centre;
    /// Maximum number of concurrent statements.
    std::uint32_t slots = 0;
    /// Connections that the server accepts from the fleet in total.
    std::uint32_t connections = 0;
};

/// A kind of request, for example "quote".
struct kind
{
    core::rank importance = core::rank::deferred;
    /// Weight of one request in reports; dimensionless.
    double worth = 1.0;
};

struct rank_settings
{
    /// Guaranteed share of a server's dispatches, as a fraction 0..1.
    double minimum_share = 0.0;
    /// Slots of each server that only requests of this rank may use.
    std::uint32_t reserved_slots = 0;
    /// Required share of good requests, as a fraction below 1.
    double objective = 0.99;
    /// A request counts as good if it completes within this time.
    std::chrono::milliseconds latency_objective{1000};
    /// Deadline of a request that specifies none.
    std::chrono::milliseconds deadline{5000};
};

enum class queue_policy
{
    ranked,
    first_come_first_served
};

enum class read_policy
{
    replicas,
    primary_only
};

struct limit_settings
{
    /// Maximum size of a request body, in bytes.
    std::uint64_t body = 64ULL * 1024;
    /// Maximum size of a request header, in bytes.
    std::uint64_t header = 8ULL * 1024;
    /// Maximum number of caller connections open on one host.
    std::uint32_t open_connections = 10000;
    /// Time within which a caller must send a complete request.
    std::chrono::milliseconds request_read_time{5000};
    /// Time for requests in flight to finish during a graceful shutdown.
    std::chrono::milliseconds drain_limit{30000};
    /// An open transaction is rolled back after this time without a statement.
    std::chrono::milliseconds transaction_idle_limit{10000};
    /// An idle connection to a backend server is closed at this age.
    std::chrono::milliseconds idle_age{60000};
    /// A connection idle for longer than this is probed before use.
    std::chrono::milliseconds probe_after{5000};
    /// Retries allowed per successful request of a group, as a fraction.
    double retry_ratio = 0.1;
    queue_policy queue = queue_policy::ranked;
    read_policy reads = read_policy::replicas;
};

/// Joint limit on the requests of several kinds.
struct team
{
    std::vector<std::string> kinds;
    /// Maximum number of requests of these kinds in flight on one host.
    std::uint32_t limit = 0;
};

struct settings
{
    platform_settings platform;
    std::map<core::data_centre_id, data_centre> data_centres;
    std::map<core::host_id, host> hosts;
    std::map<core::group_id, group> groups;
    std::map<core::server_id, backend_server> backend_servers;
    std::map<std::string, kind> kinds;
    /// Indexed by `core::index_of`.
    std::array<rank_settings, core::rank_count> ranks;
    limit_settings limits;
    std::map<std::string, team> teams;
};

/// One error in a file set. `line` is 0 if it cannot be attributed to a single
/// line.
struct problem
{
    std::string file;
    std::uint32_t line = 0;
    /// Describes the error and how to correct it.
    std::string message;
};

/// "file:line: message".
std::string to_string(const problem& value);

/// Merges the files in name order, where a later file overrides an earlier one
/// key by key, and validates the result. Returns all problems found.
std::variant<settings, std::vector<problem>> parse_settings(
    const file_set& files);

/// Formats the settings as INI text. Keys that the files omit appear with their
/// default.
std::string to_text(const settings& values);

}  // namespace godwitbarrow::settings
