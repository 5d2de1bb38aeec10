#include "godwitbarrow/hosts/table_copy.hpp"

#include <algorithm>
#include <iterator>

namespace godwitbarrow::hosts
{
namespace detail
{
namespace
{

bool is_newer(const table_copy& than, const row_update& it)
{
    if (!than.known || it.era != than.era)
        return !than.known || it.era > than.era;
    return it.version > than.version;
}

void replace_rows(table_copy& to, const row_update& it)
{
    to.rows.clear();
    for (const auto& row : it.rows)
        if (!row.deleted)
            to.rows[row.key] = row;
}

void change_rows(table_copy& to, const row_update& it)
{
    for (const auto& row : it.rows)
        if (row.deleted)
            to.rows.erase(row.key);
        else
            to.rows[row.key] = row;
}

}  // namespace
}  // namespace detail

update_result apply(table_copy& to, const row_update& it, core::time_point now)
{
    if (!detail::is_newer(to, it))
    {
        if (to.known && it.era == to.era && it.version == to.version)
            to.confirmed = std::max(to.confirmed, now - it.age);
        return update_result::older;
    }
    if (it.whole)
        detail::replace_rows(to, it);
    else if (!to.known || it.era != to.era || it.after > to.version)
        return update_result::gap;
    else
        detail::change_rows(to, it);
    if (it.whole || !it.rows.empty())
        to.changed = it.version;
    to.known = true;
    to.era = it.era;
    to.version = it.version;
    to.confirmed = std::max(to.confirmed, now - it.age);
    to.store_time = it.store_time;
    to.store_time_at = now;
    return update_result::applied;
}

bool confirm(table_copy& to, const table_position& it, core::time_point now)
{
    if (!to.known || it.era > to.era)
        return false;
    if (it.era < to.era)
        return true;
    if (it.version > to.version)
        return false;
    to.confirmed = std::max(to.confirmed, now - it.age);
    return true;
}

table_position position_of(const table_copy& it, core::time_point now)
{
    using std::chrono::milliseconds;
    return {it.name, it.era, it.changed,
            std::chrono::duration_cast<milliseconds>(now - it.confirmed)};
}

row_update whole_update(const table_copy& it, core::time_point now)
{
    const auto at = position_of(it, now);
    row_update out;
    out.name = it.name;
    out.era = it.era;
    out.version = it.version;
    out.whole = true;
    out.age = at.age;
    out.store_time =
        it.store_time + std::chrono::duration_cast<std::chrono::milliseconds>(
                            now - it.store_time_at);
    for (const auto& [key, row] : it.rows)
        out.rows.push_back(row);
    return out;
}

std::optional<row_update> join(update_parts& in, row_update part)
{
    const auto name = part.name;
    auto n = in.begun.find(name);
    if (part.part == 0)
        n = in.begun.insert_or_assign(name, std::move(part)).first;
    else if (n == in.begun.end() || n->second.part + 1 != part.part)
        return std::nullopt;
    else
    {
        auto& all = n->second;
        all.part = part.part;
        all.more = part.more;
        all.rows.insert(all.rows.end(),
                        std::make_move_iterator(part.rows.begin()),
                        std::make_move_iterator(part.rows.end()));
    }
    if (n->second.more)
        return std::nullopt;
    auto out = std::move(n->second);
    in.begun.erase(n);
    return out;
}

}  // namespace godwitbarrow::hosts
