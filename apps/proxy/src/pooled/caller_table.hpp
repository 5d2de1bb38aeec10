#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "godwitbarrow/admission/byte_budget.hpp"
#include "godwitbarrow/admission/caller_limits.hpp"
#include "godwitbarrow/core/lock_order.hpp"
#include "godwitbarrow/pooler/events.hpp"
#include "godwitbarrow/stream/connection.hpp"

namespace godwitbarrow::proxy::pooled
{

/// What one connection of a caller holds.
struct caller_entry
{
    std::weak_ptr<stream::connection> link;
    bool started = false;
    bool in_transaction = false;
    /// Being closed for a limit.
    bool closing = false;
    bool paused = false;
    std::size_t buffered = 0;
    std::size_t stored = 0;
    std::size_t queued = 0;
    /// Sizes of the statements without an answer.
    std::deque<std::size_t> outstanding;
    std::size_t charged = 0;
    /// To the precision of the checks.
    core::time_point active;
    admission::progress_watch watch;
};

/// Connections closed for a limit, by reason.
using closed_counts = std::map<std::string_view, std::size_t>;

/// Every connection of a caller, until its socket is closed.
struct caller_table
{
    core::ordered_mutex<core::lock_level::callers> mutex;
    admission::caller_limits limits;
    admission::byte_budget budget;
    std::unordered_map<pooler::session_number, caller_entry> entries;
    /// Entries that are being closed for a limit.
    std::size_t closing = 0;
    core::time_point last_check;
    core::time_point last_log;
    /// Since the last log line.
    closed_counts unlogged;
};

}  // namespace godwitbarrow::proxy::pooled
