#pragma once

#include <atomic>
#include <boost/asio/strand.hpp>
#include <utility>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/stream/connection.hpp"

/// The state of a connection, and how bytes pass through it. Everything runs on
/// the strand of the connection.
namespace godwitbarrow::stream
{

namespace detail
{
constexpr std::size_t first_buffer_bytes = 4096;
}  // namespace detail

struct connection
{
    connection(boost::asio::ip::tcp::socket s, handlers h, const limits& l)
        : strand(boost::asio::make_strand(s.get_executor())),
          socket(std::move(s)),
          deadline(strand),
          on(std::move(h)),
          within(l)
    {
    }

    boost::asio::strand<boost::asio::any_io_executor> strand;
    boost::asio::ip::tcp::socket socket;
    core::timer deadline;
    handlers on;
    limits within;
    std::vector<char> input = std::vector<char>(detail::first_buffer_bytes);
    std::size_t filled = 0;
    /// Bytes of the unfinished line that hold no part of a line end.
    std::size_t searched = 0;
    std::string sending;
    /// Bytes of `sending` that the system has taken.
    std::size_t taken = 0;
    std::string unsent;
    /// Steps of memory last told to `on.holds`.
    std::size_t told_steps = 0;
    bool reading = false;
    /// Whether lines may be delivered.
    bool started = false;
    bool connected = false;
    bool closed = false;
    bool closing = false;

    /// Written by any thread.
    std::atomic<bool> paused{false};
    std::atomic<bool> abandoned{false};
    /// Read by any thread.
    std::atomic<std::uint64_t> line_count{0};
    std::atomic<std::size_t> unfinished_bytes{0};
    std::atomic<std::uint64_t> sent_bytes{0};
    std::atomic<std::size_t> unsent_bytes{0};
};

namespace detail
{

void close_socket(connection& it);
/// Closes the connection and tells the reason.
void fail(const connection_ptr& it, const std::string& reason);

/// Whether nothing may be delivered or read now.
bool is_blocked(const connection& it);
/// Delivers what has arrived and reads on, unless reading is blocked.
void read_on(const connection_ptr& it);
void read_some(const connection_ptr& it);

/// Sends what is not sent yet, unless a write is under way.
void append(const connection_ptr& it, const std::string& bytes);
/// Starts the next write. None may be under way.
void write_some(const connection_ptr& it);

}  // namespace detail
}  // namespace godwitbarrow::stream
