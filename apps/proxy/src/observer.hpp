#pragma once

#include <functional>

#include "app.hpp"

namespace godwitbarrow::proxy
{

/// Tries a backend server on a new connection. `handler` runs once, with the
/// status of the member if it answered in time.
void observe_server(
    app& it, const core::server_id& server,
    const std::function<void(bool reachable,
                             std::optional<core::member_status>)>& handler);

}  // namespace godwitbarrow::proxy
