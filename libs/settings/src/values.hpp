#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "godwitbarrow/settings/keys.hpp"
#include "ini_file.hpp"

/// Typed access to the values of one section. Each function falls back to the
/// default of the key table and reports a missing or invalid value as a
/// problem.
namespace godwitbarrow::settings::detail
{

struct section_reader
{
    const section& from;
    std::vector<problem>& problems;
};

/// Location of the key; that of the section header if the key is absent.
const source_location& location_of(const section& from, const std::string& key);
void report(std::vector<problem>& problems, const source_location& at,
            std::string message);

std::string read_text(section_reader& reader, const std::string& key);
std::string read_name(section_reader& reader, const std::string& key);
std::vector<std::string> read_names(section_reader& reader,
                                    const std::string& key);
std::string read_ip_address(section_reader& reader, const std::string& key);
core::endpoint read_endpoint(section_reader& reader, const std::string& key);
std::uint32_t read_count(section_reader& reader, const std::string& key);
std::uint16_t read_port(section_reader& reader, const std::string& key);
double read_number(section_reader& reader, const std::string& key);
std::chrono::milliseconds read_duration(section_reader& reader,
                                        const std::string& key);
std::chrono::microseconds read_short_duration(section_reader& reader,
                                              const std::string& key);
/// Size in bytes.
std::uint64_t read_size(section_reader& reader, const std::string& key);
/// A fraction 0..1.
double read_percent(section_reader& reader, const std::string& key);
/// Index of the value in the key's choices.
std::size_t read_choice(section_reader& reader, const std::string& key);

}  // namespace godwitbarrow::settings::detail
