#pragma once

#include <map>
#include <string>
#include <vector>

#include "godwitbarrow/settings/settings.hpp"

/// INI files parsed into sections and keys with their source locations.
namespace godwitbarrow::settings::detail
{

struct source_location
{
    std::string file;
    std::uint32_t line = 0;
};

struct entry
{
    std::string value;
    source_location at;
};

struct section
{
    /// Part of the header before the first dot.
    std::string type;
    /// Part of the header after the first dot; empty if there is no dot.
    std::string name;
    /// First occurrence of the section header.
    source_location at;
    std::map<std::string, entry> entries;
};

/// Sections keyed by header.
using section_map = std::map<std::string, section>;

/// Merges the files in name order. Syntax errors are added to `problems`.
section_map merge_files(const file_set& files, std::vector<problem>& problems);

}  // namespace godwitbarrow::settings::detail
