#pragma once

#include <boost/json/object.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/core/error.hpp"

namespace scenario
{

namespace core = godwitbarrow::core;

struct http_response
{
    unsigned status = 0;
    std::string body;
};

/// Sends one request on a new connection and waits for the response, at most
/// `timeout`. `no_connection` if nothing was sent.
core::result<http_response> call(const core::endpoint& to,
                                 const std::string& method,
                                 const std::string& target, std::string body,
                                 std::chrono::milliseconds timeout);

/// The same for JSON; a body that is not a JSON object is an error.
core::result<boost::json::object> call_json(const core::endpoint& to,
                                            const std::string& method,
                                            const std::string& target,
                                            std::string body,
                                            std::chrono::milliseconds timeout);

}  // namespace scenario
