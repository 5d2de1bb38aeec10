#pragma once

#include <string>

namespace godwitbarrow::proxy::pooled
{

/// Runs the pooler with the settings file until it is told to stop. Returns
/// the exit code of the process.
int run(const std::string& settings_path);

}  // namespace godwitbarrow::proxy::pooled
