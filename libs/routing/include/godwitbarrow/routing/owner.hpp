#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "godwitbarrow/core/names.hpp"

/// Which host owns a backend server and which one coordinates a group.
namespace godwitbarrow::routing
{

/// Where a host or a backend server is.
struct location
{
    core::data_centre_id data_centre;
    core::region_id region;
};

/// A host as the host list and its peers describe it.
struct host_entry
{
    core::host_id host;
    location at;
    bool leaving = false;
    /// Missed by its peers.
    bool suspected = false;
};

struct server_location
{
    core::server_id server;
    location at;
};

/// Hash of a (key, host) pair; the same on every host and in every version.
std::uint64_t rendezvous_hash(std::string_view key, std::string_view host);

/// The host that admits work to a backend server: the highest hash among the
/// usable hosts of its data centre, else of its region, else of all. Hosts in
/// `without_contact` cannot reach the server and are passed over unless no
/// other host is left. Absent if no host is usable.
std::optional<core::host_id> owner_of(
    const server_location& server, const std::vector<host_entry>& hosts,
    const std::vector<core::host_id>& without_contact = {});

/// The host that runs a promotion of the group. Absent if no host is usable.
std::optional<core::host_id> coordinator_of(
    const core::group_id& group, const std::vector<host_entry>& hosts);

}  // namespace godwitbarrow::routing
