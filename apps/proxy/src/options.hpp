#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/telemetry/log.hpp"

namespace godwitbarrow::proxy
{

/// The command line.
struct options
{
    core::host_id host;
    core::endpoint platform;
    /// Folder of settings that this host publishes; empty for none.
    std::string folder;
    /// Peers to ask for settings if the store is down at the start.
    std::vector<core::endpoint> seeds;
    std::size_t workers = 4;
    telemetry::log_level level = telemetry::log_level::info;
};

/// Errors name the flag and the remedy.
core::result<options> parse_options(int argc, char** argv);

}  // namespace godwitbarrow::proxy
