#include "godwitbarrow/standins/platform_state.hpp"

#include <utility>

namespace godwitbarrow::standins
{

namespace detail
{
namespace
{

std::uint64_t version_of(const platform_state& it, const conditional_put& p)
{
    const auto row = find_row(it, p.table, p.key);
    return row ? row->version : 0;
}

}  // namespace
}  // namespace detail

std::optional<store::versioned_value> find_row(const platform_state& it,
                                               const std::string& table,
                                               const std::string& key)
{
    const auto found = it.rows.find(table + "/" + key);
    if (found == it.rows.end())
        return {};
    return found->second;
}

std::optional<std::vector<std::uint64_t>> write_rows(
    platform_state& it, const std::vector<conditional_put>& puts)
{
    for (const auto& p : puts)
        if (detail::version_of(it, p) != p.expected_version)
            return {};
    std::vector<std::uint64_t> versions;
    for (const auto& p : puts)
    {
        auto& row = it.rows[p.table + "/" + p.key];
        row.value = p.value;
        versions.push_back(++row.version);
    }
    return versions;
}

void set_hosts(platform_state& it, std::vector<store::host_entry> hosts,
               core::time_point now)
{
    it.host_lists.push_back({now, {++it.host_list_version, std::move(hosts)}});
}

store::host_list shown_hosts(platform_state& it, std::chrono::milliseconds lag,
                             core::time_point now)
{
    auto& lists = it.host_lists;
    while (lists.size() > 1 && lists[1].made_at + lag <= now)
        lists.pop_front();
    return lists.empty() ? store::host_list() : lists.front().list;
}

}  // namespace godwitbarrow::standins
