#pragma once

#include <chrono>

namespace godwitbarrow::peer::detail
{

/// Bound of every duration in a message. It keeps the sum of a time point and
/// a received duration far from overflow.
constexpr std::chrono::hours longest_duration{24 * 366};

}  // namespace godwitbarrow::peer::detail
