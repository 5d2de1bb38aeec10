#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/core/request.hpp"

/// JSON encoding of requests and outcomes for callers.
namespace godwitbarrow::gateway
{

struct execute_limits
{
    /// Used if the caller states no deadline.
    std::chrono::milliseconds default_deadline{10000};
    std::chrono::milliseconds longest_deadline{60000};
    std::chrono::milliseconds longest_age{std::chrono::hours(24)};
    /// Length of a group, kind, key, transaction or request id.
    std::size_t name_bytes = 256;
};

struct parsed_request
{
    /// `importance` and `token` are left for other libraries to fill.
    core::request request;
    /// The session token as the caller sent it; empty if there is none.
    std::string token;
    /// Absent if `request.deadline` is the default.
    std::optional<std::chrono::milliseconds> stated_deadline;
};

/// The id that the caller gave, or a new one if the header is empty.
/// Errors: malformed_request if it is too long or not printable ASCII.
core::result<core::request_id> resolve_request_id(
    std::string_view header, const execute_limits& limits = {});

/// Parses the body of `POST /v1/execute`. Errors: malformed_request, naming
/// the field and the remedy.
core::result<parsed_request> parse_execute(std::string_view body,
                                           std::string_view request_id_header,
                                           core::time_point now,
                                           const execute_limits& limits = {});

/// `token` is the encoded session token of a completed request.
std::string format_outcome(const core::request_id& id, const core::outcome& it,
                           std::string_view token = {});

/// The outcome `not_run` for an error that was found before the request
/// reached any queue.
std::string format_error(const core::request_id& id, const core::error& it);

/// 200 for completed, 504 for unknown, 4xx or 503 for not run.
unsigned http_status(const core::outcome& it);
unsigned http_status(core::error_kind not_run_because);

}  // namespace godwitbarrow::gateway
