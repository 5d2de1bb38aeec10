#pragma once

#include "app.hpp"

namespace godwitbarrow::proxy::pooled
{

/// Keeps the owners of each group up to date with the hosts, the members and
/// the configuration.
void watch_owners(app& it);

/// The owners of the group that the database belongs to, in the order in which
/// this host tries them. Empty if this host serves it.
std::vector<core::host_id> owners_of_database(app& it,
                                              const std::string& database);

/// Whether this host takes part in decisions about the group; `hosts` is set to
/// the number of hosts that do, unless all do.
bool serves_group(app& it, const core::group_id& group, std::size_t& hosts);

}  // namespace godwitbarrow::proxy::pooled
