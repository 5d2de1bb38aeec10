#pragma once

#include <vector>

#include "godwitbarrow/settings/settings.hpp"

namespace godwitbarrow::settings
{

/// Problems of `to` as the successor of `from`, both valid. A generation may
/// replace at most one member of a group: with two new members, a majority of
/// the group might hold none of the writes acknowledged before.
std::vector<problem> check_change(const settings& from, const settings& to);

}  // namespace godwitbarrow::settings
