#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/core/error.hpp"

/// TCP connections that carry lines ended by CR LF.
///
/// Any thread may call these functions. Handlers run on the strand of their
/// connection and never after `closed`.
namespace godwitbarrow::stream
{

struct limits
{
    /// A longer line closes the connection.
    std::size_t line_bytes = std::size_t{1024} * 1024 + 64;
    /// A peer that leaves more than this unread is disconnected.
    std::size_t unsent_bytes = std::size_t{4} * 1024 * 1024;
    /// Data that the peer does not acknowledge for this long breaks the
    /// connection; so does an idle peer that does not answer keep-alive probes.
    std::chrono::milliseconds silence_limit{2000};
    /// While the peer leaves more than this unread, nothing is read from it. 0
    /// reads on.
    std::size_t read_pause_bytes = 0;
};

struct handlers
{
    /// A line without its end. The view is valid during the call only.
    std::function<void(std::string_view line)> received;
    /// Called once, after an error or the end of the stream, or after `close`
    /// by a handler of this connection. Not called after `close`.
    std::function<void(const std::string& reason)> closed;
    /// The memory that the connection holds in buffers changed, beyond that of
    /// an idle one and in steps of some KiB. May be empty.
    std::function<void(std::size_t bytes)> holds;
    /// Called once when the socket is closed for any reason, also by `close`.
    /// May be empty.
    std::function<void()> ended;
};

/// What has passed through a connection so far.
struct progress
{
    std::uint64_t lines = 0;
    /// Bytes that were received behind the last complete line.
    std::size_t unfinished = 0;
    bool paused = false;
    std::uint64_t sent = 0;
    std::size_t unsent = 0;
};

struct connection;
using connection_ptr = std::shared_ptr<connection>;

/// Serves a socket that was accepted.
connection_ptr adopt(boost::asio::ip::tcp::socket socket, handlers on,
                     const limits& within = {});

/// Connects, then calls `connected` or `closed`.
connection_ptr connect(const boost::asio::any_io_executor& executor,
                       const core::endpoint& to,
                       std::chrono::milliseconds timeout,
                       std::function<void()> connected, handlers on,
                       const limits& within = {});

/// Starts to read. Call once, for an adopted connection.
void start(const connection_ptr& it);

/// Delivers no further line and reads nothing until `resume`. Neither calls a
/// handler before it returns.
void pause(const connection_ptr& it);
void resume(const connection_ptr& it);

progress progress_of(const connection_ptr& it);

/// Sends the bytes after those sent before.
void send(const connection_ptr& it, std::string bytes);

/// Closes the connection once everything is sent.
void close_after_sending(const connection_ptr& it);

/// Breaks the connection as an error does: `closed` is called, unless the
/// connection was being closed.
void abort(const connection_ptr& it, const std::string& reason);

/// Closes the connection at once. No handler is called any more.
void close(const connection_ptr& it);

}  // namespace godwitbarrow::stream
