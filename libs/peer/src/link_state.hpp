#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <vector>

#include "frame.hpp"
#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/peer/link.hpp"

namespace godwitbarrow::peer
{

namespace detail
{

/// Executors of a fixed type. A strand inside `any_io_executor` is counted with
/// memory fences, which ThreadSanitizer does not model and reports as a race.
using strand = boost::asio::strand<boost::asio::any_io_executor>;
using strand_socket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, strand>;
using strand_acceptor =
    boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, strand>;
using strand_timer = boost::asio::basic_waitable_timer<
    core::runtime_clock, boost::asio::wait_traits<core::runtime_clock>, strand>;

/// A frame that is not written yet.
struct queued_frame
{
    frame bytes;
    core::time_point sent_at;
};

}  // namespace detail

/// Members other than the atomics and `remote` are used on the strand of
/// `socket` only. `remote` does not change once other threads have the link.
struct link
{
    link(detail::strand_socket s, const link_limits& l)
        : socket(std::move(s)), timer(socket.get_executor()), limits(l)
    {
    }

    detail::strand_socket socket;
    /// Bounds the connection attempt, later the frame that has begun.
    detail::strand_timer timer;
    link_limits limits;
    core::endpoint remote;
    message_handler on_message;
    closed_handler on_closed;
    detail::frame_buffer input;
    std::vector<detail::queued_frame> waiting;
    std::vector<detail::queued_frame> writing;
    /// Bytes handed to `send` and not written yet.
    std::atomic<std::size_t> queued_bytes{0};
    /// When the oldest of them was handed to `send`; `max` if there is none.
    std::atomic<core::time_point> queued_since{core::time_point::max()};
    std::atomic<bool> open{true};
    bool connecting = false;
    bool close_reported = false;
};

namespace detail
{

/// Sets the options of a connected socket that the limits of the link ask for.
void set_options(const link_ptr& it);

/// Starts to read on a connected link. Runs on its strand.
void start_reading(const link_ptr& it);

}  // namespace detail
}  // namespace godwitbarrow::peer
