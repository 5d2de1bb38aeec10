#include "owner_watch.hpp"

#include <algorithm>
#include <mutex>

#include "godwitbarrow/telemetry/log.hpp"
#include "mesh.hpp"
#include "relay.hpp"
#include "store_link.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

constexpr std::chrono::milliseconds watch_interval{200};

using ownerships = std::map<core::group_id, owners::ownership>;
using capacities = std::map<core::group_id, owners::member_capacity>;

/// The groups that have members.
capacities list_capacities(app& it)
{
    capacities out;
    std::lock_guard lock(it.decisions.mutex);
    for (const auto& [id, g] : it.decisions.state.groups)
    {
        if (g.members.empty())
            continue;
        auto& c = out[id];
        c.max_connections = g.settings.max_connections;
        for (const auto& [server, m] : g.members)
            c.slots = std::max(c.slots, m.record.slots);
    }
    return out;
}

/// The live hosts including this one, and which of them are leaving.
std::vector<hosts::peer_host> list_hosts(app& it)
{
    auto out = other_hosts(it);
    out.push_back(own_host(it));
    std::lock_guard lock(it.relays.mutex);
    for (auto& host : out)
    {
        const auto p = it.relays.peers.find(host.host);
        if (p != it.relays.peers.end() && p->second.draining_since)
            host.leaving = true;
    }
    return out;
}

/// Keeps the last owners of a group whose members are not known any more.
ownerships choose_all(app& it, const ownerships& before)
{
    auto out = before;
    const auto live = list_hosts(it);
    for (const auto& [group, capacity] : list_capacities(it))
        out[group] = owners::choose_owners(group, capacity, live);
    return out;
}

pooler::group_shares_changed shares_of(const app& it, const ownerships& all)
{
    pooler::group_shares_changed out;
    for (const auto& [group, of] : all)
        if (!of.all_hosts)
            out.shares[group] = {of.owners.size(),
                                 owners::is_owner(of, it.settings.name)};
    return out;
}

std::set<core::host_id> remote_owners(const app& it, const ownerships& all)
{
    std::set<core::host_id> out;
    for (const auto& [group, of] : all)
        for (const auto& owner : of.owners)
            if (owner.host != it.settings.name)
                out.insert(owner.host);
    return out;
}

void log_owners(const core::group_id& group, const owners::ownership& of)
{
    std::string names;
    for (const auto& owner : of.owners)
        names += (names.empty() ? "" : " ") + owner.host.value;
    telemetry::log_event(
        telemetry::log_level::info, "owners chosen",
        {{"group", group}, {"owners", of.all_hosts ? "all" : names}});
}

void update_owners(app& it)
{
    ownerships before;
    {
        std::lock_guard lock(it.relays.mutex);
        // The sessions that are left keep their connections.
        if (it.relays.draining_since)
            return;
        before = it.relays.groups;
    }
    const auto now = choose_all(it, before);
    if (now == before)
        return;
    for (const auto& [group, of] : now)
        if (before.count(group) == 0 || before.at(group) != of)
            log_owners(group, of);
    {
        std::lock_guard lock(it.relays.mutex);
        it.relays.groups = now;
    }
    want_links(it, peer::topic::sessions, remote_owners(it, now));
    handle(it, shares_of(it, now));
}

void keep_updating(app& it)
{
    update_owners(it);
    after(it, watch_interval, [&it] { keep_updating(it); });
}

std::optional<core::group_id> group_of(app& it, const std::string& database)
{
    std::lock_guard lock(it.decisions.mutex);
    const auto& routes = it.decisions.state.active_configuration.routes;
    const auto r = routes.find(database);
    if (r == routes.end())
        return std::nullopt;
    return r->second.group;
}

}  // namespace
}  // namespace detail

void watch_owners(app& it)
{
    if (it.settings.peers)
        detail::keep_updating(it);
}

std::vector<core::host_id> owners_of_database(app& it,
                                              const std::string& database)
{
    const auto group = detail::group_of(it, database);
    if (!group)
        return {};
    std::lock_guard lock(it.relays.mutex);
    const auto g = it.relays.groups.find(*group);
    if (g == it.relays.groups.end() ||
        owners::is_owner(g->second, it.settings.name))
        return {};
    return owners::preferred_owners(g->second, own_host(it));
}

bool serves_group(app& it, const core::group_id& group, std::size_t& hosts)
{
    std::lock_guard lock(it.relays.mutex);
    const auto g = it.relays.groups.find(group);
    if (g == it.relays.groups.end() || g->second.all_hosts)
        return true;
    hosts = g->second.owners.size();
    return owners::is_owner(g->second, it.settings.name);
}

}  // namespace godwitbarrow::proxy::pooled
