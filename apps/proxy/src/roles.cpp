#include "roles.hpp"

#include <algorithm>

#include "group_runner.hpp"
#include "poller.hpp"

namespace godwitbarrow::proxy
{
namespace detail
{
namespace
{

/// More than a round of observers asks, so that hosts that do not answer can
/// be passed over.
constexpr std::size_t most_listed = 8;

// What the choice of owners depends on, copied from the host table.
struct host_snapshot
{
    std::vector<routing::host_entry> usable;
    std::map<core::server_id, std::vector<core::host_id>> without_contact;
    std::set<core::server_id> leaving_servers;
};

host_snapshot take_snapshot(app& it)
{
    std::lock_guard lock(it.hosts.mutex);
    return {it.hosts.usable, it.hosts.without_contact,
            it.hosts.leaving_servers};
}

std::optional<core::host_id> find_owner(const settings::settings& of,
                                        const host_snapshot& hosts,
                                        const core::server_id& server)
{
    const auto n = of.backend_servers.find(server);
    if (n == of.backend_servers.end())
        return std::nullopt;
    const auto without = hosts.without_contact.find(server);
    return routing::owner_of(
        {server, place_of(of, n->second.data_centre)}, hosts.usable,
        without == hosts.without_contact.end() ? std::vector<core::host_id>()
                                               : without->second);
}

void add_unique(std::vector<core::host_id>& to, const core::host_id& host,
                const core::host_id& self)
{
    if (host != self && std::find(to.begin(), to.end(), host) == to.end())
        to.push_back(host);
}

// The owners of the group's servers first, then other hosts from the position
// of the group's hash on, so that groups spread over the hosts. The list is
// bounded: with all 3,600 hosts in it, one group takes 120 KB.
std::vector<core::host_id> list_observers(const settings::settings& of,
                                          const host_snapshot& hosts,
                                          const settings::group& group,
                                          const core::host_id& self)
{
    std::vector<core::host_id> it;
    for (const auto& n : group.members)
        if (const auto owner = find_owner(of, hosts, n))
            add_unique(it, *owner, self);
    const auto count = hosts.usable.size();
    const auto first = std::hash<std::string>{}(group.members.front().value);
    for (std::size_t n = 0; n < count && it.size() < most_listed; ++n)
        add_unique(it, hosts.usable[(first + n) % count].host, self);
    return it;
}

void update_group(app& it, const settings::settings& of,
                  const host_snapshot& hosts, const group_ptr& entry)
{
    const auto found = of.groups.find(entry->id);
    if (found == of.groups.end())
        return;
    const auto& group = found->second;
    serving::ownership_changed ownership;
    for (const auto& n : group.members)
        if (find_owner(of, hosts, n) == it.self)
            ownership.owned.push_back(n);
    failover::role_changed role;
    role.coordinator =
        routing::coordinator_of(entry->id, hosts.usable) == it.self;
    if (role.coordinator)
        role.observers = list_observers(of, hosts, group, it.self);
    const bool polls = role.coordinator || !ownership.owned.empty();
    post(it, entry, serving::event(ownership));
    post(it, entry, failover::event(role));
    for (const auto& n : group.members)
    {
        const bool leaving = hosts.leaving_servers.count(n) > 0;
        post(it, entry, serving::event(serving::server_leaving{n, leaving}));
        post(it, entry, failover::event(failover::server_leaving{n, leaving}));
        set_polling(it, entry, n, polls);
    }
}

}  // namespace
}  // namespace detail

void refresh_roles(app& it)
{
    const auto settings = current_settings(it);
    if (!settings)
        return;
    const auto hosts = detail::take_snapshot(it);
    for (const auto& n : all_groups(it))
        detail::update_group(it, *settings, hosts, n);
}

std::optional<core::host_id> owner_of_server(app& it,
                                             const core::server_id& server)
{
    const auto settings = current_settings(it);
    return detail::find_owner(*settings, detail::take_snapshot(it), server);
}

std::optional<core::host_id> coordinator_of_group(app& it,
                                                  const core::group_id& group)
{
    return routing::coordinator_of(group, detail::take_snapshot(it).usable);
}

}  // namespace godwitbarrow::proxy
