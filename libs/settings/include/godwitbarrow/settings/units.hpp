#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Parsing and formatting of values: numbers with units, names and lists.
namespace godwitbarrow::settings
{

std::optional<std::uint64_t> parse_count(std::string_view text);
std::optional<double> parse_number(std::string_view text);
/// Units ms, s, min and h. Fractions of a millisecond are dropped.
std::optional<std::chrono::milliseconds> parse_duration(std::string_view text);
/// Units us, ms and s.
std::optional<std::chrono::microseconds> parse_short_duration(
    std::string_view text);
/// Size in bytes; units B, KiB and MiB.
std::optional<std::uint64_t> parse_size(std::string_view text);
/// The number before the percent sign.
std::optional<double> parse_percent(std::string_view text);
bool is_name(std::string_view text);
/// Splits at commas and trims spaces and tabs around each part.
std::vector<std::string> split_names(std::string_view text);

/// The shortest exact form; inverse of the parse functions.
std::string format_duration(std::chrono::milliseconds value);
std::string format_short_duration(std::chrono::microseconds value);
std::string format_size(std::uint64_t bytes);
std::string format_number(double value);

}  // namespace godwitbarrow::settings
