#pragma once

#include <cstdint>

#include "godwitbarrow/core/clock.hpp"

namespace godwitbarrow::proxy::pooled
{

/// Bounds the log lines about requests. Not thread-safe.
struct request_log
{
    core::time_point second;
    std::uint64_t written = 0;
    std::uint64_t left_out = 0;
};

/// Whether one more line may be written. Logs once a second how many were left
/// out.
bool may_log_request(request_log& it);

}  // namespace godwitbarrow::proxy::pooled
