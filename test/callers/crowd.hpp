#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

/// Connections of one test, all driven by its thread without blocking.
namespace godwitbarrow::test
{

struct crowd_member
{
    boost::asio::ip::tcp::socket socket;
    std::string unsent;
    bool closed = false;
};

struct crowd
{
    /// Connects `size` members; those that the host refuses are left out.
    crowd(boost::asio::io_context& io, const std::string& address,
          std::uint16_t port, std::size_t size);

    std::vector<crowd_member> members;
};

/// Gives each member these bytes to send.
void append(crowd& to, const std::string& bytes);

/// Sends up to `limit` bytes, as far as the host takes them. Returns how many.
std::size_t send_some(crowd_member& it, std::size_t limit);

/// What has arrived.
std::string receive_some(crowd_member& it);

/// All members in turn send pieces of this size, until everything is sent or
/// the host takes nothing more.
void send_in_pieces(crowd& it, std::size_t piece);

/// Members whose connection the host has not closed.
std::size_t count_open(crowd& it);

}  // namespace godwitbarrow::test
