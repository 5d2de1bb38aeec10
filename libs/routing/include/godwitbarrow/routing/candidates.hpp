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

/// A member of a group as the entry host sees it.
struct member_entry
{
    core::server_id server;
    location at;
    bool leaving = false;
    /// Its owner or its status polls report that it does not answer.
    bool suspected = false;
};

/// One-way latencies from this host's data centre. Estimates stand in for
/// data centres that were not measured.
struct latency_estimates
{
    std::map<core::data_centre_id, std::chrono::microseconds> one_way;
    std::chrono::microseconds same_data_centre{250};
    std::chrono::microseconds same_region{1500};
    std::chrono::microseconds other_region{12000};
};

std::chrono::microseconds latency_to(const location& target,
                                     const location& local,
                                     const latency_estimates& known);

/// The members that may serve a request, best first. Writes and transactions:
/// the primary only. Reads: replicas by latency, suspected ones after the
/// others, the primary last; members at the same distance by a hash of the
/// request id, so that they share the load. Leaving members get only the
/// statements of running transactions. Empty if no member may serve it.
std::vector<core::server_id> candidate_servers(
    const core::request& request, const std::vector<member_entry>& members,
    const std::optional<core::server_id>& primary, const location& local,
    const latency_estimates& known);

}  // namespace godwitbarrow::routing
