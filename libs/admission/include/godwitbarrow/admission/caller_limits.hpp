#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "godwitbarrow/core/clock.hpp"

/// Limits for the connections of callers, and which connections exceed them.
namespace godwitbarrow::admission
{

struct caller_limits
{
    std::size_t connections = 0;
    /// Of all connections together.
    std::size_t bytes = 0;
    /// From the connect to the startup.
    std::chrono::milliseconds startup_time{10000};
    /// From the first byte of a message to its last.
    std::chrono::milliseconds message_time{30000};
    /// Without taking a byte of an answer.
    std::chrono::milliseconds answer_time{30000};
};

/// Sets `connections` and `bytes` for a process of this memory and this many
/// descriptors; 0 stands for an unknown number.
caller_limits derive_caller_limits(std::uint64_t memory,
                                   std::uint64_t descriptors);

/// Sent and received on one connection so far.
struct caller_progress
{
    bool started = false;
    std::uint64_t messages = 0;
    /// Bytes of a message that has not arrived whole.
    std::size_t unfinished = 0;
    /// Whether the host has stopped reading.
    bool paused = false;
    std::uint64_t taken = 0;
    /// Bytes of answers that the caller has not taken.
    std::size_t untaken = 0;
};

/// The progress at the last check, and since when parts of it stand still.
struct progress_watch
{
    core::time_point connected;
    caller_progress last;
    std::optional<core::time_point> unfinished_since;
    std::optional<core::time_point> untaken_since;
};

/// Why the connection is to be closed, if it is.
std::optional<std::string_view> check_progress(progress_watch& it,
                                               const caller_progress& now_at,
                                               const caller_limits& within,
                                               core::time_point now);

/// A connection that could make room for another.
struct eviction_candidate
{
    std::uint64_t session = 0;
    bool started = false;
    bool in_transaction = false;
    /// Statements without an answer.
    std::size_t outstanding = 0;
    core::time_point active;
};

/// Up to `most` connections to close, so that others can be accepted: first
/// those without a startup, then sessions outside a transaction, last those
/// that rest inside one. Callers reconnect sessions that were idle. Those with
/// a statement or with recent use of their transaction are left.
std::vector<std::uint64_t> choose_evictions(
    std::vector<eviction_candidate> from, std::size_t most,
    core::time_point now);

}  // namespace godwitbarrow::admission
