#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "godwitbarrow/backend/messages.hpp"
#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/core/error.hpp"

/// Connections to backend servers.
///
/// A connection carries one request at a time and is closed when a request on
/// it fails or times out. Any thread may call these functions. Handlers run
/// once, on the strand of the connection, and never before the function has
/// returned.
namespace godwitbarrow::backend
{

struct connection;
using connection_ptr = std::shared_ptr<connection>;

/// No reply was received.
struct send_failure
{
    /// False: the server did not get the statement, so it was not run.
    bool any_byte_sent = false;
    std::string message;
};

using execute_result = std::variant<core::backend_reply, send_failure>;
using execute_handler = std::function<void(execute_result)>;
using connection_handler = std::function<void(core::result<connection_ptr>)>;
using status_handler = std::function<void(core::result<core::member_status>)>;
using lookup_handler = std::function<void(core::result<lookup_answer>)>;
using probe_handler = std::function<void(core::result<std::monostate>)>;

/// Connects and probes, so that a connection that is handed out is served.
/// `no_connection` if the server cannot be reached within `timeout` or is at
/// its connection limit.
void open_connection(const boost::asio::any_io_executor& executor,
                     const core::endpoint& server,
                     std::chrono::milliseconds timeout,
                     const connection_handler& handler);

void execute(const connection_ptr& it, const statement_call& call,
             core::time_point reply_by, const execute_handler& handler);

/// Answered when the member's position differs from `after` or another part of
/// its status changes, at the latest after `wait`. `timeout` counts from the
/// call and must exceed `wait`. `connection_lost` if no answer comes.
void read_status(const connection_ptr& it, core::log_number after,
                 std::chrono::milliseconds wait,
                 std::chrono::milliseconds timeout,
                 const status_handler& handler);

/// `fenced` if the member has accepted a higher term or another attempt.
void fence(const connection_ptr& it, core::term_number term,
           const core::attempt_id& attempt, std::chrono::milliseconds timeout,
           const status_handler& handler);

/// The position of the answer is the base position of the term. `fenced` if
/// the member was not fenced in this term by this attempt.
void promote(const connection_ptr& it, core::term_number term,
             const core::attempt_id& attempt, std::chrono::milliseconds timeout,
             const status_handler& handler);

/// `fenced` if the member has accepted a higher term.
void follow(const connection_ptr& it, core::term_number term,
            const core::server_id& primary, std::chrono::milliseconds timeout,
            const status_handler& handler);

void lookup(const connection_ptr& it, const core::idempotency_key& key,
            std::chrono::milliseconds timeout, const lookup_handler& handler);

/// Sends a request without effect. `connection_lost` if it is not answered.
void probe(const connection_ptr& it, std::chrono::milliseconds timeout,
           const probe_handler& handler);

/// Closes the connection; a request in flight fails. The server rolls back
/// the transaction of the connection.
void close(const connection_ptr& it);

/// False once the connection was closed.
bool is_open(const connection_ptr& it);

}  // namespace godwitbarrow::backend
