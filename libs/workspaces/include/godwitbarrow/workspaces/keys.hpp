#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <string_view>

/// Access keys of workspaces. Only their hashes are kept, so that no log,
/// metric or dump can show a key.
namespace godwitbarrow::workspaces
{

/// SHA-256 of a key.
struct key_hash
{
    std::array<unsigned char, 32> bytes{};
};

key_hash hash_key(std::string_view key);

/// Compares in constant time.
bool operator==(const key_hash& a, const key_hash& b);

}  // namespace godwitbarrow::workspaces

template <>
struct std::hash<godwitbarrow::workspaces::key_hash>
{
    std::size_t operator()(
        const godwitbarrow::workspaces::key_hash& it) const noexcept;
};
