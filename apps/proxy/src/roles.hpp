#pragma once

#include "app.hpp"

/// Which backend servers this host owns and which groups it coordinates.
namespace godwitbarrow::proxy
{

/// Computes the roles from the settings and the live hosts, tells the groups
/// and starts or stops the status polls. Call after either has changed.
void refresh_roles(app& it);

/// The owner of a backend server as this host sees it; absent if no host is
/// usable or the server is unknown.
std::optional<core::host_id> owner_of_server(app& it,
                                             const core::server_id& server);

std::optional<core::host_id> coordinator_of_group(app& it,
                                                  const core::group_id& group);

}  // namespace godwitbarrow::proxy
