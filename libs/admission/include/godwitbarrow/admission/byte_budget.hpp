#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

/// Memory that many holders, for example connections of callers, may use
/// together.
namespace godwitbarrow::admission
{

using holder_number = std::uint64_t;

struct byte_budget
{
    std::size_t limit = 0;
    std::size_t held = 0;
    /// Holders of at least one byte.
    std::unordered_map<holder_number, std::size_t> holders;
    std::set<std::pair<std::size_t, holder_number>> by_size;
};

/// Replaces what the holder holds; 0 gives all of it back.
void set_held(byte_budget& it, holder_number holder, std::size_t bytes);

/// Removes and returns the largest holder if more than the limit is held. Call
/// until it returns nothing.
std::optional<holder_number> take_largest_over_limit(byte_budget& it);

}  // namespace godwitbarrow::admission
