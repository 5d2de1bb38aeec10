#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/core/error.hpp"

/// HTTP/1.1 server for operators and the scraper: `GET /healthz`,
/// `GET /metrics` and `GET /v1/admin/<name>`.
namespace godwitbarrow::gateway
{

constexpr std::size_t max_admin_answer_bytes = std::size_t{1024} * 1024;

struct admin_response
{
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
};

/// `path` is one of those above, without a query. Nothing for an unknown
/// path. Runs on the strand of a connection.
using admin_handler =
    std::function<std::optional<admin_response>(std::string_view path)>;

struct admin_server;
using admin_ptr = std::shared_ptr<admin_server>;

/// Serves until `stop`. `health_path` takes the place of "/healthz" where a
/// balancer asks for another path. Errors: invalid_settings if the endpoint
/// cannot be bound.
core::result<admin_ptr> start_admin(
    const boost::asio::any_io_executor& executor, const core::endpoint& at,
    admin_handler handler, const std::string& health_path = "/healthz");

/// The bound endpoint, with the real port if port 0 was asked for.
core::endpoint local_endpoint(const admin_ptr& it);

/// Stops accepting and closes all connections.
void stop(const admin_ptr& it);

}  // namespace godwitbarrow::gateway
