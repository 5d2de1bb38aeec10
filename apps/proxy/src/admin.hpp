#pragma once

#include "app.hpp"

namespace godwitbarrow::proxy
{

/// Answers /healthz, /metrics and the read-only routes /v1/admin/<name>:
/// groups, owners, settings, queues, drain, hosts. Nothing for other paths.
std::optional<gateway::admin_response> answer_admin(app& it,
                                                    std::string_view path);

}  // namespace godwitbarrow::proxy
