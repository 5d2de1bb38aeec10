#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "godwitbarrow/telemetry/burn.hpp"

/// The counters of several hosts as one history. Sans I/O.
namespace godwitbarrow::tool
{

/// The counters of one host in one round; no sample if it did not answer.
struct host_sample
{
    std::string host;
    std::optional<telemetry::sample> counters;
};

struct fleet_history
{
    telemetry::history history;
    /// Last sample of each host.
    std::map<std::string, telemetry::sample> last;
    /// Requests that were counted since the first round.
    telemetry::sample sum;
};

/// Adds what each host counted since its last sample. Restarts are found for
/// each host, because the sum over the hosts may rise all the same. The first
/// sample of a host counts nothing.
void add_round(fleet_history& to, const std::vector<host_sample>& round,
               core::time_point at);

}  // namespace godwitbarrow::tool
