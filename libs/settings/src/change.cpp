#include "godwitbarrow/settings/change.hpp"

#include <algorithm>

namespace godwitbarrow::settings
{
namespace detail
{
namespace
{

constexpr std::ptrdiff_t max_replaced = 1;

/// Whether the server is still a member of its group at the same address.
bool is_retained(const settings& from, const settings& to,
                 const core::server_id& server)
{
    const auto& old = from.backend_servers.at(server);
    const auto it = to.backend_servers.find(server);
    return it != to.backend_servers.end() && it->second.group == old.group &&
           it->second.address == old.address;
}

std::ptrdiff_t count_replaced(const settings& from, const settings& to,
                              const group& members)
{
    return std::count_if(members.members.begin(), members.members.end(),
                         [&](const core::server_id& server)
                         { return !is_retained(from, to, server); });
}

}  // namespace
}  // namespace detail

std::vector<problem> check_change(const settings& from, const settings& to)
{
    std::vector<problem> problems;
    for (const auto& [name, old] : from.groups)
    {
        if (to.groups.count(name) == 0)
            continue;
        const auto n = detail::count_replaced(from, to, old);
        if (n > detail::max_replaced)
            problems.push_back(
                {"", 0,
                 "the change replaces " + std::to_string(n) +
                     " members of group " + name.value +
                     "; replace one, wait until the new member has caught "
                     "up, then replace the next"});
    }
    return problems;
}

}  // namespace godwitbarrow::settings
