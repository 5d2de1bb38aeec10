#pragma once

#include <string>
#include <string_view>
#include <vector>

/// Table of all keys; parsing, validation and docs/settings.md are based on it.
namespace godwitbarrow::settings
{

enum class value_type
{
    text,
    /// Letters, digits, '_' and '-', at most `max_name_length` characters.
    name,
    /// Names separated by commas.
    names,
    ip_address,
    endpoint,
    port,
    count,
    /// Decimal number without unit.
    number,
    /// Whole number with unit ms, s, min or h; limits in milliseconds.
    duration,
    /// Whole number with unit us, ms or s; limits in microseconds.
    short_duration,
    /// Whole number with unit B, KiB or MiB; limits in bytes.
    size,
    /// Decimal number followed by %; limits in percent.
    percent,
    /// One of the words in `choices`.
    choice
};

constexpr std::size_t max_name_length = 32;

enum class change_effect
{
    /// Applies to work that starts after the change; nothing is interrupted.
    while_running,
    /// Takes effect on a host when its process is restarted.
    at_restart
};

struct key_info
{
    /// "limits", or "host" for the sections [host.NAME].
    std::string_view section;
    /// Empty if the keys of the section are names of data centres.
    std::string_view key;
    value_type type = value_type::text;
    bool required = false;
    /// As written in a file; empty if there is no default.
    std::string_view default_text;
    double minimum = 0;
    double maximum = 0;
    /// Separated by '|'.
    std::string_view choices;
    change_effect effect = change_effect::while_running;
    /// Effect of a change while the fleet is running.
    std::string_view change;
};

const std::vector<key_info>& all_keys();

/// Null if the section has no such key.
const key_info* find_key(std::string_view section, std::string_view key);

/// Whether the table has keys for this section type.
bool is_section(std::string_view section);
/// Whether the section is written [section.NAME].
bool is_named_section(std::string_view section);

/// Accepted units as written in a file, for example "ms, s, min or h".
std::string unit_text(const key_info& info);
/// Accepted values, for example "1 to 65535".
std::string range_text(const key_info& info);
/// The key's row in the table of its section in docs/settings.md.
std::string documentation_row(const key_info& info);

}  // namespace godwitbarrow::settings
