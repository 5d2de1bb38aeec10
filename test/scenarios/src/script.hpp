#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "godwitbarrow/core/error.hpp"

/// The scenario language: one step a line, words separated by spaces, quoted
/// with double quotes, comments after #.
namespace scenario
{

namespace core = godwitbarrow::core;

/// One line, for example
/// `request dealer via=h1 kind=quote access=write => outcome=completed`.
struct step
{
    int line = 0;
    std::string verb;
    /// Words without "=" before "=>".
    std::vector<std::string> words;
    /// Words of the form name=value before "=>".
    std::map<std::string, std::string> options;
    /// Words of the form name=value after "=>".
    std::map<std::string, std::string> expected;
    std::string text;
};

struct script
{
    std::string title;
    std::vector<step> steps;
};

/// Errors name the line.
core::result<script> parse_script(std::string_view text);

/// Text of a failed expectation.
std::string describe_mismatch(const step& of, const std::string& field,
                              const std::string& got,
                              const std::string& expected);

/// Accepts a number with "ms" or "s".
core::result<std::chrono::milliseconds> parse_duration(std::string_view text);

}  // namespace scenario
