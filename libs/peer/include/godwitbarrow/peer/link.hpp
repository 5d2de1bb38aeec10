#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/peer/messages.hpp"

/// Links between hosts: TCP connections that carry messages, each with a
/// 4-byte big-endian length before it.
namespace godwitbarrow::peer
{

constexpr std::size_t max_frame_bytes = std::size_t{1024} * 1024;

struct link_limits
{
    /// Encoded messages that wait to be written.
    std::size_t write_queue_bytes = std::size_t{16} * 1024 * 1024;
    /// From the first byte of a frame to its last.
    std::chrono::milliseconds frame_timeout{10000};
    std::chrono::milliseconds connect_timeout{2000};
    /// A connection whose other machine acknowledges nothing for this long is
    /// closed; zero leaves it to the system. At least two seconds otherwise.
    std::chrono::milliseconds silence_limit{0};
};

/// One connection. Its handlers run on its own strand, one at a time.
struct link;
using link_ptr = std::shared_ptr<link>;

struct listener;
using listener_ptr = std::shared_ptr<listener>;

using message_handler = std::function<void(const link_ptr&, message)>;
/// Called once for each link that was open, also after `close`.
using closed_handler = std::function<void(const link_ptr&, const core::error&)>;
/// `owner_unreachable` if the connection was not established in time.
using connected_handler = std::function<void(const core::result<link_ptr>&)>;

/// Accepts links until `close`. Errors: invalid_settings if the endpoint
/// cannot be bound.
core::result<listener_ptr> listen(const boost::asio::any_io_executor& executor,
                                  const core::endpoint& at,
                                  message_handler on_message,
                                  closed_handler on_closed,
                                  const link_limits& limits = {});

/// Calls `on_connected` once; the other handlers only after a success.
void connect(const boost::asio::any_io_executor& executor,
             const core::endpoint& to, connected_handler on_connected,
             message_handler on_message, closed_handler on_closed,
             const link_limits& limits = {});

/// Queues the message; callable from any thread. Messages of one thread keep
/// their order. Closes the link if the write queue exceeds its limit or the
/// message exceeds a frame. Does nothing on a closed link.
void send(const link_ptr& it, const message& what);

/// What waits in this process to be written to the other host.
struct send_backlog
{
    std::size_t bytes = 0;
    /// Since the oldest of these messages was sent.
    core::duration age{0};
};

/// Callable from any thread.
send_backlog backlog_of(const link_ptr& it, core::time_point now);

/// Drops what was not written yet. Callable from any thread.
void close(const link_ptr& it);

/// Stops accepting. Accepted links stay open.
void close(const listener_ptr& it);

/// The bound endpoint, with the real port if port 0 was asked for.
core::endpoint local_endpoint(const listener_ptr& it);

/// The other side of the connection.
core::endpoint remote_endpoint(const link_ptr& it);

}  // namespace godwitbarrow::peer
