#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// What the platform's service stores and reports.
namespace godwitbarrow::store
{

/// A row of the table service. The first write of a row gives version 1.
struct versioned_value
{
    std::string value;
    std::uint64_t version = 0;
};

enum class host_kind
{
    host,
    backend_server
};

enum class host_state
{
    live,
    leaving
};

/// An entry of the platform's host list.
struct host_entry
{
    std::string name;
    host_kind kind = host_kind::host;
    host_state state = host_state::live;
};

/// The platform's host list. A change of the list raises its version.
struct host_list
{
    std::uint64_t version = 0;
    std::vector<host_entry> entries;
};

}  // namespace godwitbarrow::store
