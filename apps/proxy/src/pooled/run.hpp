#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <variant>

#include "godwitbarrow/core/error.hpp"

namespace godwitbarrow::proxy::pooled
{

struct app;

/// Opens the ports and follows the store. Errors: invalid_settings if an
/// address is taken.
core::result<std::monostate> start(app& it);

/// Begins the graceful shutdown; the workers stop at its end.
void shut_down(app& it);

/// Serves with the workers of the settings until the shutdown has ended.
void run_workers(app& it);

/// Runs the pooler with the settings file until it is told to stop. The limit,
/// if there is one, replaces `host_settings::change_limit`. Returns the exit
/// code of the process.
int run(const std::string& settings_path,
        std::optional<std::chrono::milliseconds> change_limit);

}  // namespace godwitbarrow::proxy::pooled
