#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/core/request.hpp"
#include "godwitbarrow/routing/owner.hpp"

namespace godwitbarrow::routing
{

/// State of a group member as known to the entry host, which is the host that
/// received the request.
struct member_entry
{
    core::server_id server;
    location at;
    bool leaving = false;
    /// Set if the owner of the member, or the status polls of it, report that
    /// it does not answer.
    bool suspected = false;
};

/// One-way latencies from the data centre of this host. Data centres without a
/// measurement get an estimate by distance.
struct latency_estimates
{
    std::map<core::data_centre_id, std::chrono::microseconds> one_way;
    std::chrono::microseconds same_data_centre{250};
    std::chrono::microseconds same_region{1500};
    std::chrono::microseconds other_region{12000};
};

/// The measured latency from `local` to `target`, or the estimate if there is
/// no measurement.
std::chrono::microseconds latency_to(const location& target,
                                     const location& local,
                                     const latency_estimates& latencies);

/// Returns the members that may serve a request, in order of preference.
/// Writes and transactions go to the primary only. Reads go to the replicas by
/// ascending latency, suspected replicas after the others and the primary last;
/// members with equal latency are ordered by a hash of the request id, which
/// spreads the load over them. A leaving member receives only statements of
/// open transactions, including commit and rollback. Returns an empty vector
/// if no member may serve the request.
std::vector<core::server_id> candidate_servers(
    const core::request& request, const std::vector<member_entry>& members,
    const std::optional<core::server_id>& primary, const location& local,
    const latency_estimates& latencies);

}  // namespace godwitbarrow::routing
