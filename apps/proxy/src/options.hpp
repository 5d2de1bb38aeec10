#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/telemetry/log.hpp"

namespace godwitbarrow::proxy
{

/// What the process does.
enum class process_mode
{
    /// Serves requests over HTTP, with its own peers and settings folder.
    gateway,
    /// Serves sessions of the platform's callers over pooled connections.
    pooler
};

/// The command line.
struct options
{
    process_mode mode = process_mode::gateway;
    /// Settings file of this host, in the mode `pooler`.
    std::string host_settings;
    /// In the mode `pooler`: see `pooled::host_settings::change_limit`.
    std::optional<std::chrono::milliseconds> change_limit;
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
