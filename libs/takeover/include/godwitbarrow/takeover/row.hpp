#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/core/names.hpp"

/// Rows in the store through which the hosts agree on which of them replaces
/// the primary of a group. All times are read from the clock of the store.
namespace godwitbarrow::takeover
{

/// The last claim to replace the primary of a group; one row per group.
struct claim
{
    /// Fencing token, incremented by each claim.
    std::uint64_t token = 0;
    core::host_id holder;
    /// The primary that is being replaced.
    core::server_id replaced;
    std::chrono::milliseconds claimed_at{0};
    /// Whether replicas may still be paused for this claim or an earlier one.
    bool replicas_paused = false;
    /// Era of the store in which the claim was made.
    std::uint64_t era = 0;
    /// The member that is the primary since the platform accepted an order for
    /// it under the token of this claim; empty until then, and in groups
    /// without synchronous replicas.
    core::server_id settled = {};
};

/// Statement of a host that it cannot reach the primary. There is one row per
/// host and group, so that the votes of many hosts do not wait for each other.
struct vote
{
    core::server_id suspect;
    /// When the primary last answered this host.
    std::chrono::milliseconds unreachable_since{0};
    /// When the host last renewed its vote.
    std::chrono::milliseconds renewed_at{0};
};

std::string encode(const claim& row);
std::string encode(const vote& row);

/// Returns `protocol_error` if the text is not a valid row.
core::result<claim> decode_claim(const std::string& text);
core::result<vote> decode_vote(const std::string& text);

}  // namespace godwitbarrow::takeover
