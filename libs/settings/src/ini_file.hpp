#pragma once

#include <map>
#include <string>
#include <vector>

#include "godwitbarrow/settings/settings.hpp"

/// INI files as sections and keys with their places.
namespace godwitbarrow::settings::detail
{

/// Where something is written.
struct place
{
    std::string file;
    std::uint32_t line = 0;
};

struct entry
{
    std::string value;
    place at;
};

struct section
{
    /// Part of the header in front of the first dot.
    std::string type;
    /// Part of the header behind the first dot; empty if there is none.
    std::string name;
    /// The first place that names the section.
    place at;
    std::map<std::string, entry> entries;
};

/// Sections by header.
using section_map = std::map<std::string, section>;

/// Merges the files in name order. Faults of the syntax go to `problems`.
section_map merge_files(const file_set& files, std::vector<problem>& problems);

}  // namespace godwitbarrow::settings::detail
