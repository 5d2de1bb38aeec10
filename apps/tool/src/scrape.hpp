#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/core/error.hpp"

namespace godwitbarrow::tool::detail
{

/// Reads /metrics of all targets at the same time, each within `timeout`.
/// Results in the order of the targets; `no_connection`, `connection_lost` or
/// `protocol_error` with the target and the remedy.
std::vector<core::result<std::string>> scrape_all(
    const std::vector<core::endpoint>& targets,
    std::chrono::milliseconds timeout);

}  // namespace godwitbarrow::tool::detail
