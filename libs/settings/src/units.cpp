#include "godwitbarrow/settings/units.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <limits>

#include "godwitbarrow/settings/keys.hpp"

namespace godwitbarrow::settings
{
namespace detail
{
namespace
{

struct unit
{
    std::string_view suffix;
    std::uint64_t factor;
};

// Largest unit first: formatting uses the first one that divides the value.
constexpr std::array<unit, 4> duration_units{
    {{"h", 3600000}, {"min", 60000}, {"s", 1000}, {"ms", 1}}};
constexpr std::array<unit, 3> short_duration_units{
    {{"s", 1000000}, {"ms", 1000}, {"us", 1}}};
constexpr std::array<unit, 3> size_units{
    {{"MiB", 1024ULL * 1024}, {"KiB", 1024}, {"B", 1}}};

template <std::size_t N>
std::optional<std::uint64_t> parse_with_unit(std::string_view text,
                                             const std::array<unit, N>& units)
{
    const auto end_of_digits = std::find_if_not(
        text.begin(), text.end(), [](unsigned char c) { return isdigit(c); });
    const auto digits =
        text.substr(0, static_cast<std::size_t>(end_of_digits - text.begin()));
    const auto suffix = text.substr(digits.size());
    const auto n = parse_count(digits);
    // Durations are stored as signed 64-bit integers.
    constexpr auto largest =
        static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    for (const auto& entry : units)
        if (n && entry.suffix == suffix && *n <= largest / entry.factor)
            return *n * entry.factor;
    return std::nullopt;
}

/// Parses a number with a decimal fraction, which is rounded down to the
/// smallest unit.
template <std::size_t N>
std::optional<std::uint64_t> parse_fraction(std::string_view text,
                                            const std::array<unit, N>& units)
{
    constexpr std::size_t most_decimals = 9;
    const auto dot = text.find('.');
    if (dot == std::string_view::npos)
        return parse_with_unit(text, units);
    const auto rest = text.substr(dot + 1);
    const auto end =
        std::min(rest.find_first_not_of("0123456789"), rest.size());
    const auto suffix = std::string(rest.substr(end));
    const auto whole =
        parse_with_unit(std::string(text.substr(0, dot)) + suffix, units);
    const auto decimals = rest.substr(0, std::min(end, most_decimals));
    const auto part = parse_with_unit(std::string(decimals) + suffix, units);
    if (!whole || !part)
        return std::nullopt;
    std::uint64_t scale = 1;
    for (std::size_t n = 0; n < decimals.size(); ++n)
        scale *= 10;
    return *whole + *part / scale;
}

template <std::size_t N>
std::string format_with_unit(std::uint64_t value,
                             const std::array<unit, N>& units)
{
    for (const auto& entry : units)
        if (value != 0 && value % entry.factor == 0)
            return std::to_string(value / entry.factor) +
                   std::string(entry.suffix);
    return std::to_string(value) + std::string(units.back().suffix);
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

}  // namespace
}  // namespace detail

std::optional<std::uint64_t> parse_count(std::string_view text)
{
    std::uint64_t n = 0;
    const auto end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc() || stop != end)
        return std::nullopt;
    return n;
}

std::optional<double> parse_number(std::string_view text)
{
    double n = 0;
    const auto end = text.data() + text.size();
    const auto [stop, ec] =
        std::from_chars(text.data(), end, n, std::chars_format::fixed);
    // from_chars accepts "inf" and "nan", which are not valid for any key.
    const bool digit =
        !text.empty() && isdigit(static_cast<unsigned char>(text.front()));
    if (ec != std::errc() || stop != end || !digit)
        return std::nullopt;
    return n;
}

std::optional<std::chrono::milliseconds> parse_duration(std::string_view text)
{
    const auto n = detail::parse_fraction(text, detail::duration_units);
    if (!n)
        return std::nullopt;
    return std::chrono::milliseconds(*n);
}

std::optional<std::chrono::microseconds> parse_short_duration(
    std::string_view text)
{
    const auto n = detail::parse_with_unit(text, detail::short_duration_units);
    if (!n)
        return std::nullopt;
    return std::chrono::microseconds(*n);
}

std::optional<std::uint64_t> parse_size(std::string_view text)
{
    return detail::parse_with_unit(text, detail::size_units);
}

std::optional<double> parse_percent(std::string_view text)
{
    if (text.empty() || text.back() != '%')
        return std::nullopt;
    return parse_number(text.substr(0, text.size() - 1));
}

bool is_name(std::string_view text)
{
    const auto allowed = [](unsigned char c)
    {
        return c < 128 && (isalnum(c) || c == '_' || c == '-');
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), allowed);
}

std::vector<std::string> split_names(std::string_view text)
{
    std::vector<std::string> parts;
    while (true)
    {
        const auto comma = text.find(',');
        parts.emplace_back(detail::trim(text.substr(0, comma)));
        if (comma == std::string_view::npos)
            return parts;
        text.remove_prefix(comma + 1);
    }
}

std::string format_duration(std::chrono::milliseconds value)
{
    return detail::format_with_unit(static_cast<std::uint64_t>(value.count()),
                                    detail::duration_units);
}

std::string format_short_duration(std::chrono::microseconds value)
{
    return detail::format_with_unit(static_cast<std::uint64_t>(value.count()),
                                    detail::short_duration_units);
}

std::string format_size(std::uint64_t bytes)
{
    return detail::format_with_unit(bytes, detail::size_units);
}

std::string format_number(double value)
{
    std::array<char, 32> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(),
                                         value, std::chars_format::general, 12);
    return {buf.data(), ec == std::errc() ? end : buf.data()};
}

}  // namespace godwitbarrow::settings
