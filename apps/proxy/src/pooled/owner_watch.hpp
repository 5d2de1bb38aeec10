#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

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

/// Whether this host serves sessions of the group, and so sees its members.
bool serves_group(app& it, const core::group_id& group);

/// Number of hosts that do; absent if all do.
std::optional<std::size_t> count_owners(app& it, const core::group_id& group);

}  // namespace godwitbarrow::proxy::pooled
