#pragma once

#include <cstdint>

#include "godwitbarrow/core/clock.hpp"

namespace godwitbarrow::proxy::pooled
{

/// Bounds the log lines about requests. The users of one take turns.
struct request_log
{
    core::time_point second;
    std::uint64_t written = 0;
    std::uint64_t left_out = 0;
};

/// Whether there is room for a line. Tells once a second what was left out.
bool take_room(request_log& it);

}  // namespace godwitbarrow::proxy::pooled
