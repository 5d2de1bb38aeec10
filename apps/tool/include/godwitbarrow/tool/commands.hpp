#pragma once

#include <ostream>
#include <string>

/// The commands of godwitbarrow-tool. Each returns the exit code.
namespace godwitbarrow::tool
{

/// Where a command writes its result and its errors.
struct output
{
    std::ostream& result;
    std::ostream& errors;
};

/// Checks the settings in a folder: 0 if they are valid, 1 if not. Prints the
/// problems to `errors`; with `show`, prints the merged settings.
int check(const std::string& folder, bool show, const output& to);

/// Prints the digest of the folder; 1 if it cannot be read.
int digest(const std::string& folder, const output& to);

/// Prints the rows of the tables in docs/settings.md.
int keys(const output& to);

}  // namespace godwitbarrow::tool
