#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/core/names.hpp"

/// The row in the store through which the hosts agree on who replaces the
/// primary of a group.
namespace godwitbarrow::takeover
{

struct row
{
    /// Fencing token of the last claim. Each claim takes the next one.
    std::uint64_t token = 0;
    core::host_id holder;
    /// The primary that the last claim replaces.
    core::server_id replaced;
    /// Time of the store at the last claim.
    std::chrono::milliseconds claimed{0};
    /// The primary that hosts report as unreachable, and the time of the store
    /// at each report.
    core::server_id suspect;
    std::map<core::host_id, std::chrono::milliseconds> votes;
};

std::string encode(const row& it);
/// `protocol_error` if the text is no such row.
core::result<row> decode(const std::string& text);

}  // namespace godwitbarrow::takeover
