#pragma once

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

#include "http_server.hpp"

namespace godwitbarrow::gateway::detail
{

enum class session_phase
{
    /// No byte of the next request has arrived.
    idle,
    reading,
    in_flight,
    writing,
    /// The last reply is written; waits for the caller to close, because
    /// closing with unread input would reset the connection and could destroy
    /// the reply on its way.
    lingering,
    closed
};

/// One connection; all members are used on the strand of `socket` only.
struct session
{
    session(boost::asio::ip::tcp::socket s, http_server_ptr p);

    boost::asio::ip::tcp::socket socket;
    http_server_ptr server;
    core::timer timer;
    /// Raised when the timer is set or cancelled, so that an expiry which is
    /// already queued has no effect.
    std::uint64_t timer_epoch = 0;
    session_phase phase = session_phase::idle;
    bool first_request = true;
    bool read_timed_out = false;
    bool refused = false;
    boost::beast::flat_buffer input;
    std::optional<
        boost::beast::http::request_parser<boost::beast::http::string_body>>
        parser;
    exchange_number exchange = 0;
    core::request_id request_id;
    unsigned http_version = 11;
    bool keep_alive = true;
    bool head_only = false;
    boost::beast::http::response<boost::beast::http::string_body> response;
    std::array<char, 1024> discarded;
};

/// Serves the connection until it ends.
void serve(const session_ptr& it);
/// Tells the caller that there are too many connections.
void refuse(const session_ptr& it);
/// Closes the connection if no byte of a request has arrived.
void close_if_idle(const session_ptr& it);
void close_session(const session_ptr& it);

/// Removes a closed session from the table of the server.
void forget(const session_ptr& it);

}  // namespace godwitbarrow::gateway::detail
