#include "frame.hpp"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <cstring>

#include "godwitbarrow/peer/link.hpp"

namespace godwitbarrow::peer::detail
{
namespace
{

constexpr std::size_t header_bytes = 4;
/// Kept small because a server owner has a link from every entry host.
constexpr std::size_t usual_bytes = 4096;

std::size_t length_at(const std::uint8_t* header)
{
    return boost::endian::load_big_u32(header);
}

/// Size of the frame that begins at `taken`, as far as it is known.
std::size_t wanted_bytes(const frame_buffer& it)
{
    if (it.filled - it.taken < header_bytes)
        return header_bytes;
    return header_bytes + length_at(it.bytes.data() + it.taken);
}

}  // namespace

frame make_frame(const std::vector<std::uint8_t>& message)
{
    if (message.size() > max_frame_bytes)
        return {};
    frame it(header_bytes + message.size());
    boost::endian::store_big_u32(it.data(),
                                 static_cast<std::uint32_t>(message.size()));
    std::copy(message.begin(), message.end(), it.begin() + header_bytes);
    return it;
}

writable prepare(frame_buffer& it)
{
    const auto rest = it.filled - it.taken;
    if (rest > 0 && it.taken > 0)
        std::memmove(it.bytes.data(), it.bytes.data() + it.taken, rest);
    it.taken = 0;
    it.filled = rest;
    const auto size = std::max(usual_bytes, wanted_bytes(it));
    if (it.bytes.size() != size && rest <= size)
    {
        it.bytes.resize(size);
        it.bytes.shrink_to_fit();
    }
    return {it.bytes.data() + rest, it.bytes.size() - rest};
}

core::result<frame_view> next_frame(frame_buffer& it)
{
    const auto rest = it.filled - it.taken;
    if (rest < header_bytes)
        return frame_view{};
    const auto length = length_at(it.bytes.data() + it.taken);
    if (length > max_frame_bytes)
        return core::error{core::error_kind::protocol_error,
                           "a peer announced a message above 1 MiB; check "
                           "that the peer port is used by peers only"};
    if (rest < header_bytes + length)
        return frame_view{};
    const frame_view out{it.bytes.data() + it.taken + header_bytes, length};
    it.taken += header_bytes + length;
    ++it.frames;
    return out;
}

}  // namespace godwitbarrow::peer::detail
