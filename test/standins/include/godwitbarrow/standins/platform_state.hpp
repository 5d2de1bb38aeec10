#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/store/records.hpp"

/// Rows, objects and host list of the platform stand-in, without I/O.
namespace godwitbarrow::standins
{

struct conditional_put
{
    std::string table;
    std::string key;
    std::string value;
    /// 0: the row must be absent.
    std::uint64_t expected_version = 0;
};

struct host_list_change
{
    core::time_point made_at;
    store::host_list list;
};

struct platform_state
{
    /// By "table/key".
    std::map<std::string, store::versioned_value> rows;
    std::map<std::string, std::string> objects;
    /// Oldest first; the first is the list that is shown at least.
    std::deque<host_list_change> host_lists;
    std::uint64_t host_list_version = 0;
};

std::optional<store::versioned_value> find_row(const platform_state& it,
                                               const std::string& table,
                                               const std::string& key);

/// Writes all rows or, if one version differs, none. Returns the new versions.
std::optional<std::vector<std::uint64_t>> write_rows(
    platform_state& it, const std::vector<conditional_put>& puts);

/// Replaces the host list. The first list is shown at once, later ones after
/// the lag.
void set_hosts(platform_state& it, std::vector<store::host_entry> hosts,
               core::time_point now);

store::host_list shown_hosts(platform_state& it, std::chrono::milliseconds lag,
                             core::time_point now);

}  // namespace godwitbarrow::standins
