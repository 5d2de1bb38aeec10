#pragma once

#include <array>
#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

#include "http_server.hpp"

namespace godwitbarrow::gateway::detail
{

/// Beast writes version 1.1 as 11.
constexpr unsigned http_version_11 = 11;

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
    session(strand_socket s, http_server_ptr p);

    strand_socket socket;
    http_server_ptr server;
    strand_timer timer;
    /// Raised when the timer is set or cancelled, so that an expiry which is
    /// already queued has no effect.
    std::uint64_t timer_epoch = 0;
    session_phase phase = session_phase::idle;
    /// Number of the connection or of its newest request.
    std::atomic<std::uint64_t> last_use;
    /// Being closed for another connection. Used by the server.
    bool replaced = false;
    bool first_request = true;
    bool read_timed_out = false;
    bool continue_sent = false;
    bool refused = false;
    boost::beast::flat_buffer input;
    std::optional<
        boost::beast::http::request_parser<boost::beast::http::string_body>>
        parser;
    exchange_number exchange = 0;
    core::request_id request_id;
    unsigned http_version = http_version_11;
    bool keep_alive = true;
    bool head_only = false;
    /// The reply being written.
    std::string reply_header;
    std::string reply_body;
    std::array<char, 1024> discarded;
};

/// Serves the connection until it ends.
void serve(const session_ptr& it);
/// Tells the caller that there are too many connections.
void refuse(const session_ptr& it);
/// Closes the connection if it has carried a request before and no byte of the
/// next one has arrived.
void close_if_idle(const session_ptr& it);
void close_session(const session_ptr& it);
/// Closes the connection unless it waits for a reply.
void close_for_another(const session_ptr& it);

/// Reads the next request; closes the connection if its first byte does not
/// arrive within `timeout`.
void wait_for_request(const session_ptr& it, core::duration timeout);

/// Ends the current phase with an error or by closing the connection.
void set_timer(const session_ptr& it, core::duration timeout);
void cancel_timer(const session_ptr& it);

/// Sends the reply, and then reads the next request or ends the connection.
void write(const session_ptr& it, http_reply reply);

/// Answers a request that was not read to its end, and ends the connection.
void reject(const session_ptr& it, core::error_kind kind, unsigned status,
            std::string message);
void reject_slow(const session_ptr& it);
void reject_unparsable(const session_ptr& it,
                       const boost::system::error_code& ec);

/// Removes a closed session from the table of the server.
void forget(const session_ptr& it);

}  // namespace godwitbarrow::gateway::detail
