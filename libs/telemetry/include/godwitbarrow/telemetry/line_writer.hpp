#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// Lines to a pipe that may be full.
namespace godwitbarrow::telemetry
{

/// A longer line is cut. A pipe that is ready takes this much at once.
constexpr std::size_t longest_line = 4096;

struct line_writer
{
    int descriptor = 1;
    /// Lines left out since the last one that was written.
    std::uint64_t dropped = 0;
};

/// Writes the line, or counts it as dropped if the reader does not keep up.
/// Never waits. The next line that is written tells how many were dropped.
void write_line(line_writer& to, std::string_view line);

}  // namespace godwitbarrow::telemetry
