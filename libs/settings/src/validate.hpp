#pragma once

#include "ini_file.hpp"

namespace godwitbarrow::settings::detail
{

/// Reports sections and keys that are not in the key table.
void check_names(const section_map& sections, std::vector<problem>& problems);

/// Reports inconsistencies between sections, such as references to names that
/// do not exist. `values` was filled from `sections`.
void check_consistency(const settings& values, const section_map& sections,
                       std::vector<problem>& problems);

}  // namespace godwitbarrow::settings::detail
