#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "godwitbarrow/core/error.hpp"

/// Frames of a byte stream: a 4-byte big-endian length, then the message.
namespace godwitbarrow::peer::detail
{

using frame = std::vector<std::uint8_t>;

/// Empty if the message does not fit in a frame.
frame make_frame(const std::vector<std::uint8_t>& message);

/// Received bytes that were not taken out as frames yet.
struct frame_buffer
{
    std::vector<std::uint8_t> bytes;
    std::size_t taken = 0;
    std::size_t filled = 0;
    /// Frames taken out so far.
    std::uint64_t frames = 0;
};

struct writable
{
    std::uint8_t* data = nullptr;
    std::size_t size = 0;
};

/// Makes room for the rest of the current frame. The caller adds what it wrote
/// to `filled`.
writable prepare(frame_buffer& it);

/// A message without its length; valid until the next `prepare`.
struct frame_view
{
    const std::uint8_t* data = nullptr;
    std::size_t size = 0;
};

/// Takes out the next whole frame; `data` is null if there is none. Errors:
/// protocol_error if the length exceeds the limit.
core::result<frame_view> next_frame(frame_buffer& it);

/// Whether the buffer holds a part of a frame.
inline bool partial_frame(const frame_buffer& it)
{
    return it.filled != it.taken;
}

}  // namespace godwitbarrow::peer::detail
