#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/core/request.hpp"
#include "godwitbarrow/gateway/codec.hpp"

/// HTTP/1.1 server for callers: `POST /v1/execute`.
namespace godwitbarrow::gateway
{

struct gateway_limits
{
    std::size_t body_bytes = std::size_t{64} * 1024;
    std::size_t header_bytes = std::size_t{8} * 1024;
    std::size_t open_connections = 10000;
    /// At the limit, closes the connection whose last request is the longest
    /// ago, instead of refusing the new one.
    bool replaces_oldest = false;
    /// From the first byte of a request to its last, and from the start of a
    /// connection to the end of its first request.
    std::chrono::milliseconds request_read_timeout{5000};
    /// From an answer to the first byte of the next request.
    std::chrono::milliseconds keep_alive_idle_timeout{60000};
    /// For the caller to take the whole answer.
    std::chrono::milliseconds answer_write_timeout{5000};
    /// For the caller to close after an answer that ends the connection.
    std::chrono::milliseconds linger_timeout{1000};
    execute_limits execute;
};

/// Answers the request; callable once, from any thread. `token` is the encoded
/// session token of a completed request. If all copies are destroyed without a
/// call, the caller gets the outcome unknown. No copy may outlive the
/// io_context.
using responder = std::function<void(core::outcome, std::string token)>;

struct gateway_handlers
{
    /// Runs on the strand of the connection.
    std::function<void(parsed_request, responder)> on_request;
    /// The caller closed the connection before the answer. The responder
    /// must still be called. May be empty.
    std::function<void(const core::request_id&)> on_caller_gone;
};

struct gateway_server;
using gateway_ptr = std::shared_ptr<gateway_server>;

/// Serves until `stop`. Errors: invalid_settings if the endpoint cannot be
/// bound.
core::result<gateway_ptr> start_gateway(
    const boost::asio::any_io_executor& executor, const core::endpoint& at,
    const gateway_limits& limits, gateway_handlers handlers);

/// The bound endpoint, with the real port if port 0 was asked for.
core::endpoint local_endpoint(const gateway_ptr& it);

/// Closes the listening socket. Open connections are served on, as are those
/// that wait to be accepted.
void stop_accepting(const gateway_ptr& it);

/// Starts to drain: closes connections that are idle after a request and closes
/// each other connection after its next answer. A request in flight is always
/// answered.
void close_idle(const gateway_ptr& it);

/// Stops accepting and closes all connections, also with requests in flight.
void stop(const gateway_ptr& it);

std::size_t open_connections(const gateway_ptr& it);
/// Requests handed to `on_request` whose answer is not written yet.
std::size_t requests_in_flight(const gateway_ptr& it);

}  // namespace godwitbarrow::gateway
