#pragma once

#include "godwitbarrow/serving/state.hpp"
#include "godwitbarrow/settings/settings.hpp"

namespace godwitbarrow::proxy
{

/// The part of the settings that the serving decisions of a group need.
serving::group_settings to_group_settings(const settings::settings& of,
                                          const core::group_id& group,
                                          const core::host_id& self);

}  // namespace godwitbarrow::proxy
