#include "values.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cassert>

#include "godwitbarrow/settings/units.hpp"

namespace godwitbarrow::settings::detail
{
namespace
{

std::string quoted(const std::string& text)
{
    return "\"" + text + "\"";
}

std::string plain_range(const key_info& info)
{
    std::string text = range_text(info);
    text.erase(std::remove(text.begin(), text.end(), '`'), text.end());
    return text;
}

/// The value as written or the default; nullopt if neither exists. A missing
/// required key is reported as a problem.
std::optional<std::string> find_value(section_reader& reader,
                                      const std::string& key,
                                      const key_info& info)
{
    const auto it = reader.from.entries.find(key);
    if (it != reader.from.entries.end())
        return it->second.value;
    if (info.required)
        report(reader.problems, reader.from.at,
               "[" + reader.from.type +
                   (reader.from.name.empty() ? "" : "." + reader.from.name) +
                   "] has no key " + quoted(key) + "; add \"" + key +
                   " = VALUE\" (" + plain_range(info) + ")");
    if (info.default_text.empty())
        return std::nullopt;
    return std::string(info.default_text);
}

void report_value(section_reader& reader, const std::string& key,
                  const std::string& value, const key_info& info)
{
    std::string message = quoted(value) + " is not a valid " + key +
                          "; write " + plain_range(info);
    const auto unit = unit_text(info);
    if (unit != "none")
        message += ", a number with unit " + unit;
    report(reader.problems, location_of(reader.from, key), std::move(message));
}

bool in_range(double value, const key_info& info)
{
    return value >= info.minimum && value <= info.maximum;
}

template <class Rep, class Period>
std::optional<double> number_of(
    const std::optional<std::chrono::duration<Rep, Period>>& value)
{
    return value ? std::optional<double>(value->count()) : std::nullopt;
}

std::optional<double> number_of(const std::optional<std::uint64_t>& value)
{
    return value ? std::optional<double>(*value) : std::nullopt;
}

/// Parses the value in the unit of the limits in the key table.
std::optional<double> parse_as(value_type type, const std::string& text)
{
    switch (type)
    {
        case value_type::duration:
            return number_of(parse_duration(text));
        case value_type::short_duration:
            return number_of(parse_short_duration(text));
        case value_type::size:
            return number_of(parse_size(text));
        case value_type::percent:
            return parse_percent(text);
        case value_type::number:
            return parse_number(text);
        default:
            return number_of(parse_count(text));
    }
}

/// A number within the range of the key. If it is missing or invalid, returns
/// the default, or 0 if there is none, so that no follow-up problems are
/// reported.
double read_in_range(section_reader& reader, const std::string& key)
{
    const auto* info = find_key(reader.from.type, key);
    assert(info);
    const auto text = find_value(reader, key, *info);
    if (!text)
        return 0;
    const auto n = parse_as(info->type, *text);
    if (n && in_range(*n, *info))
        return *n;
    report_value(reader, key, *text, *info);
    return parse_as(info->type, std::string(info->default_text)).value_or(0);
}

}  // namespace

const source_location& location_of(const section& from, const std::string& key)
{
    const auto it = from.entries.find(key);
    return it == from.entries.end() ? from.at : it->second.at;
}

void report(std::vector<problem>& problems, const source_location& at,
            std::string message)
{
    problems.push_back({at.file, at.line, std::move(message)});
}

std::string read_text(section_reader& reader, const std::string& key)
{
    return find_value(reader, key, *find_key(reader.from.type, key))
        .value_or("");
}

std::string read_name(section_reader& reader, const std::string& key)
{
    const auto& info = *find_key(reader.from.type, key);
    const auto text = find_value(reader, key, info);
    if (text && !is_name(*text))
        report_value(reader, key, *text, info);
    return text.value_or("");
}

std::vector<std::string> read_names(section_reader& reader,
                                    const std::string& key)
{
    const auto& info = *find_key(reader.from.type, key);
    const auto text = find_value(reader, key, info);
    if (!text)
        return {};
    auto parts = split_names(*text);
    for (const auto& part : parts)
        if (!is_name(part))
            report_value(reader, key, part, info);
    return parts;
}

std::string read_ip_address(section_reader& reader, const std::string& key)
{
    const auto& info = *find_key(reader.from.type, key);
    const auto text = find_value(reader, key, info);
    if (!text)
        return "";
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(*text, ec);
    if (ec)
        report_value(reader, key, *text, info);
    return ec ? *text : address.to_string();
}

core::endpoint read_endpoint(section_reader& reader, const std::string& key)
{
    const auto text = find_value(reader, key, *find_key(reader.from.type, key));
    if (!text)
        return {};
    const auto parsed = core::parse_endpoint(*text);
    if (!core::ok(parsed))
    {
        report(reader.problems, location_of(reader.from, key),
               std::get<core::error>(parsed).message);
        return {};
    }
    const auto& found = std::get<core::endpoint>(parsed);
    if (found.port == 0)
        report(reader.problems, location_of(reader.from, key),
               quoted(*text) + " has port 0; write a port from 1 to 65535");
    return found;
}

std::uint32_t read_count(section_reader& reader, const std::string& key)
{
    return static_cast<std::uint32_t>(read_in_range(reader, key));
}

std::uint16_t read_port(section_reader& reader, const std::string& key)
{
    return static_cast<std::uint16_t>(read_in_range(reader, key));
}

double read_number(section_reader& reader, const std::string& key)
{
    return read_in_range(reader, key);
}

std::chrono::milliseconds read_duration(section_reader& reader,
                                        const std::string& key)
{
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(read_in_range(reader, key)));
}

std::chrono::microseconds read_short_duration(section_reader& reader,
                                              const std::string& key)
{
    return std::chrono::microseconds(
        static_cast<std::int64_t>(read_in_range(reader, key)));
}

std::uint64_t read_size(section_reader& reader, const std::string& key)
{
    return static_cast<std::uint64_t>(read_in_range(reader, key));
}

double read_percent(section_reader& reader, const std::string& key)
{
    return read_in_range(reader, key) / 100;
}

std::size_t read_choice(section_reader& reader, const std::string& key)
{
    const auto& info = *find_key(reader.from.type, key);
    const auto text = find_value(reader, key, info);
    if (!text)
        return 0;
    std::string_view rest = info.choices;
    for (std::size_t n = 0;; ++n)
    {
        const auto bar = rest.find('|');
        if (rest.substr(0, bar) == *text)
            return n;
        if (bar == std::string_view::npos)
            break;
        rest.remove_prefix(bar + 1);
    }
    report_value(reader, key, *text, info);
    return 0;
}

}  // namespace godwitbarrow::settings::detail
