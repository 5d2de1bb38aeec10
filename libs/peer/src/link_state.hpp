#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <vector>

#include "frame.hpp"
#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/peer/link.hpp"

namespace godwitbarrow::peer
{

/// Members other than the atomics and `remote` are used on the strand of
/// `socket` only. `remote` does not change once other threads have the link.
struct link
{
    link(boost::asio::ip::tcp::socket s, const link_limits& l)
        : socket(std::move(s)), timer(socket.get_executor()), limits(l)
    {
    }

    boost::asio::ip::tcp::socket socket;
    /// Bounds the connection attempt, later the frame that has begun.
    core::timer timer;
    link_limits limits;
    core::endpoint remote;
    message_handler on_message;
    closed_handler on_closed;
    detail::frame_buffer input;
    std::vector<detail::frame> waiting;
    std::vector<detail::frame> writing;
    /// Bytes handed to `send` and not written yet.
    std::atomic<std::size_t> queued_bytes{0};
    std::atomic<bool> open{true};
    bool connecting = false;
    bool close_reported = false;
};

namespace detail
{

/// Starts to read on a connected link. Runs on its strand.
void start_reading(const link_ptr& it);

}  // namespace detail
}  // namespace godwitbarrow::peer
