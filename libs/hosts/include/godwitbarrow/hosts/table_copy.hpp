#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/hosts/messages.hpp"

/// The rows of a table of the store as one host knows them, whether it read
/// them itself or got them from another host.
namespace godwitbarrow::hosts
{

struct table_copy
{
    std::string name;
    /// Whether all rows were read once.
    bool known = false;
    std::uint64_t era = 0;
    std::uint64_t version = 0;
    /// Of the last update that had rows. None changed between the two.
    std::uint64_t changed = 0;
    /// When the last read began that confirmed the rows.
    core::time_point confirmed;
    /// The steady clock of the store when this host got the update.
    std::chrono::milliseconds store_time{0};
    core::time_point store_time_at;
    std::map<std::string, table_row> rows;
};

enum class update_result
{
    applied,
    /// The copy is as new or newer.
    older,
    /// Changes before the update are missing.
    gap
};

/// Applies the update if it is newer: of a later era, or of a later version in
/// the same era. Updates of a later era have to be whole. `it.part` and
/// `it.more` are not looked at.
update_result apply(table_copy& to, const row_update& it, core::time_point now);

/// Notes that another host confirms the rows up to a position that it has told
/// everything of. Returns false if this copy lacks some of them.
bool confirm(table_copy& to, const table_position& it, core::time_point now);

/// Up to which hosts that get each update from this one know the rows.
table_position position_of(const table_copy& it, core::time_point now);

/// All rows, for a host that has none.
row_update whole_update(const table_copy& it, core::time_point now);

/// Puts the parts of updates from one sender together. Parts of one update
/// arrive in order.
struct update_parts
{
    std::map<std::string, row_update> begun;
};

/// The whole update once its last part is there.
std::optional<row_update> join(update_parts& in, row_update part);

}  // namespace godwitbarrow::hosts
