#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/gateway/server.hpp"

/// The HTTP/1.1 server below the gateway and the admin server: connections,
/// limits and time limits, without routes.
namespace godwitbarrow::gateway::detail
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

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;

struct http_reply
{
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
    /// Sent as X-Request-Id if not empty.
    std::string request_id;
    /// Methods for the header Allow; empty leaves it out.
    std::string allow;
    /// Sent as Retry-After if not zero.
    std::chrono::seconds retry_after{0};
};

/// The reply not_run for an error that the server itself found.
http_reply error_reply(const core::request_id& id, const core::error& why,
                       unsigned status);

struct session;
using session_ptr = std::shared_ptr<session>;

struct http_handlers
{
    /// Runs on the strand of the session; one call of `reply_to` must follow.
    std::function<void(const session_ptr&, http_request)> on_request;
    /// The caller closed the connection before the reply. May be empty.
    std::function<void(const core::request_id&)> on_gone;
};

/// `acceptor`, `sessions` and `stopped` are used on the strand of the acceptor
/// only.
struct http_server
{
    http_server(const boost::asio::any_io_executor& executor,
                const gateway_limits& l, http_handlers h);

    boost::asio::any_io_executor parent;
    strand_acceptor acceptor;
    strand_timer retry;
    core::endpoint local;
    const gateway_limits limits;
    const http_handlers handlers;
    std::unordered_map<const session*, std::weak_ptr<session>> sessions;
    bool stopped = false;
    /// Numbers new connections and requests in their order.
    std::atomic<std::uint64_t> uses{0};
    std::atomic<std::size_t> open{0};
    std::atomic<std::size_t> in_flight{0};
    /// Connections above the limit that are being told so.
    std::atomic<std::size_t> refusals{0};
    std::atomic<bool> draining{false};
};
using http_server_ptr = std::shared_ptr<http_server>;

/// Errors: invalid_settings if the endpoint cannot be bound.
core::result<http_server_ptr> start_http(
    const boost::asio::any_io_executor& executor, const core::endpoint& at,
    const gateway_limits& limits, http_handlers handlers);

void stop_accepting(const http_server_ptr& it);
/// Sets `draining` and closes connections without a request.
void drain(const http_server_ptr& it);
/// Stops accepting and closes all connections.
void stop(const http_server_ptr& it);

/// Numbers the requests of a session.
using exchange_number = std::uint64_t;
exchange_number current_exchange(const session_ptr& it);

/// Names the request in flight for `on_gone`.
void set_request_id(const session_ptr& it, const core::request_id& id);

/// Answers the request of that number; later calls have no effect. Callable
/// from any thread.
void reply_to(const session_ptr& it, exchange_number exchange,
              http_reply reply);

/// Path of a request target, without its query.
std::string_view path_of(const http_request& it);

}  // namespace godwitbarrow::gateway::detail
