#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/core/names.hpp"

/// The rows in the store through which the hosts agree on who replaces the
/// primary of a group. Times are those of the store's clock.
namespace godwitbarrow::takeover
{

/// The last claim to replace the primary of a group; one row a group.
struct claim
{
    /// Fencing token. Each claim takes the next one.
    std::uint64_t token = 0;
    core::host_id holder;
    /// The primary that the claim replaces.
    core::server_id replaced;
    std::chrono::milliseconds made{0};
};

/// A host's word that it cannot reach the primary; one row a host and group,
/// so that the votes of many hosts do not wait for each other.
struct vote
{
    core::server_id suspect;
    /// When the primary last answered this host.
    std::chrono::milliseconds since{0};
    /// When the host last renewed its vote.
    std::chrono::milliseconds renewed{0};
};

std::string encode(const claim& it);
std::string encode(const vote& it);

/// `protocol_error` if the text is no such row.
core::result<claim> decode_claim(const std::string& text);
core::result<vote> decode_vote(const std::string& text);

}  // namespace godwitbarrow::takeover
