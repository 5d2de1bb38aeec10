#pragma once

#include <chrono>

#include "processes.hpp"

namespace scenario
{

/// What a process has used so far.
struct usage
{
    std::chrono::milliseconds processor_time{0};
    /// Resident memory, in bytes.
    std::size_t memory = 0;
};

/// Zero for a process that has ended.
usage read_usage(const process& of);

}  // namespace scenario
