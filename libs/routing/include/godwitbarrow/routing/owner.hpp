#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "godwitbarrow/core/names.hpp"

/// Assignment of backend servers to owner hosts and of groups to coordinator
/// hosts, by rendezvous hashing.
namespace godwitbarrow::routing
{

/// Location of a host or a backend server.
struct location
{
    core::data_centre_id data_centre;
    core::region_id region;
};

/// State of a host, from the host list and from the reports of its peers.
struct host_entry
{
    core::host_id host;
    location at;
    bool leaving = false;
    /// Set if its peers suspect that it has failed.
    bool suspected = false;
};

struct server_location
{
    core::server_id server;
    location at;
};

/// Hash of a (key, host) pair. It must be the same on every host and in every
/// version.
std::uint64_t rendezvous_hash(std::string_view key, std::string_view host);

/// Returns the owner of a backend server, which is the host that admits work to
/// it: the host with the highest hash among the usable hosts in the data centre
/// of the server, else in its region, else among all usable hosts. A host is
/// usable if it is neither leaving nor suspected. Hosts in `disconnected`
/// cannot reach the server and are skipped unless no other host is left.
/// Returns nullopt if no host is usable.
std::optional<core::host_id> owner_of(
    const server_location& server, const std::vector<host_entry>& hosts,
    const std::vector<core::host_id>& disconnected = {});

/// Returns the coordinator of a group, which is the host that runs a promotion
/// in it. Returns nullopt if no host is usable.
std::optional<core::host_id> coordinator_of(
    const core::group_id& group, const std::vector<host_entry>& hosts);

}  // namespace godwitbarrow::routing
