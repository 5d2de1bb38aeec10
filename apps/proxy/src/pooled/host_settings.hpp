#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/core/names.hpp"

namespace godwitbarrow::proxy::pooled
{

/// What a host is told about itself, from its INI file.
struct host_settings
{
    core::host_id name;
    core::data_centre_id data_centre;
    /// The data centre itself where none is given.
    core::region_id region;
    /// Share of a processor core that the host may use, above 0.
    double core_share = 1;
    std::size_t workers = 1;
    core::endpoint callers;
    core::endpoint readiness;
    /// Path that the balancer asks for.
    std::string readiness_path = "/healthz";
    std::optional<core::endpoint> metrics;
    /// Where other hosts connect; without it the host works alone.
    std::optional<core::endpoint> peers;
    core::endpoint store;
    /// Where promotions are called for.
    core::endpoint promotions;
    /// Whether the platform rejects promotions with a lower fencing token.
    /// Where it does not, a replaced primary leads on until it is told to step
    /// down.
    bool fencing = true;
    /// From a signal to stop until the process is killed.
    std::chrono::milliseconds grace{5000};
    /// A leaving member gets no new statement after this time.
    std::chrono::milliseconds leaving_limit{5000};
    /// A change of the configuration that a lost call to the store hid is in
    /// force this long after the call at the latest.
    std::chrono::milliseconds change_limit{4000};
    /// Memory of the process in bytes; 0 if it is not limited.
    std::uint64_t memory = 0;
    /// Descriptors of the process; 0 if only the system limits them.
    std::uint64_t descriptors = 0;
    /// From the connect of a caller to its startup.
    std::chrono::milliseconds caller_startup_time{10000};
    /// From the first byte of a caller's message to its last.
    std::chrono::milliseconds caller_message_time{30000};
    /// Without a byte that the caller takes of an answer.
    std::chrono::milliseconds caller_answer_time{30000};
    /// Any span of this length counts for the quota of a workspace; zero if the
    /// deployment has no quotas.
    std::chrono::milliseconds quota_window{0};
    /// Share above a quota that the deployment tolerates.
    double quota_excess = 0;
    /// Operations above a quota that the deployment tolerates.
    std::uint64_t quota_slack = 0;
};

/// Reads the file. Errors: invalid_settings with the line or the key and the
/// remedy.
core::result<host_settings> read_host_settings(const std::string& path);

core::result<host_settings> parse_host_settings(const std::string& text);

}  // namespace godwitbarrow::proxy::pooled
