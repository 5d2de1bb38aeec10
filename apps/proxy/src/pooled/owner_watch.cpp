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
/// Until the host has found the owners after its start.
constexpr std::chrono::milliseconds first_interval{50};
/// A host that has found none by then is ready all the same.
constexpr std::chrono::milliseconds settle_limit{2000};

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

/// Whether new sessions can be relayed to one of the owners.
bool reaches_owner(const relay_table& relays, const owners::ownership& of)
{
    return std::any_of(of.owners.begin(), of.owners.end(),
                       [&](const auto& owner)
                       {
                           const auto p = relays.peers.find(owner.host);
                           return p != relays.peers.end() &&
                                  takes_sessions(p->second);
                       });
}

std::map<core::group_id, pooler::group_share> shares_of(app& it,
                                                        const ownerships& all)
{
    std::map<core::group_id, pooler::group_share> out;
    std::lock_guard lock(it.relays.mutex);
    for (const auto& [group, of] : all)
        if (!of.all_hosts)
            out[group] = {of.owners.size(),
                          owners::is_owner(of, it.settings.name),
                          reaches_owner(it.relays, of)};
    return out;
}

/// Whether this host serves all groups or reaches an owner of each.
bool serves_all(const std::map<core::group_id, pooler::group_share>& shares)
{
    return std::all_of(shares.begin(), shares.end(),
                       [](const auto& s)
                       { return s.second.owned || s.second.relayed; });
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

/// Returns the owners from now on.
ownerships update_owners(app& it)
{
    ownerships before;
    {
        std::lock_guard lock(it.relays.mutex);
        before = it.relays.groups;
    }
    auto now = choose_all(it, before);
    if (now == before)
        return now;
    for (const auto& [group, of] : now)
        if (before.count(group) == 0 || before.at(group) != of)
            log_owners(group, of);
    {
        std::lock_guard lock(it.relays.mutex);
        it.relays.groups = now;
    }
    want_links(it, peer::topic::sessions, remote_owners(it, now));
    return now;
}

/// The shares that the pooler works with.
using known_shares = std::map<core::group_id, pooler::group_share>;

void update_shares(app& it, known_shares& known, core::time_point started)
{
    auto shares = shares_of(it, update_owners(it));
    const bool settled =
        !other_hosts(it).empty() && !shares.empty() && serves_all(shares);
    if (settled || core::runtime_clock::now() - started >= settle_limit)
        it.owners_settled = true;
    if (shares == known)
        return;
    known = shares;
    handle(it, pooler::group_shares_changed{std::move(shares)});
}

void keep_updating(app& it, const std::shared_ptr<known_shares>& known,
                   core::time_point started)
{
    {
        std::lock_guard lock(it.relays.mutex);
        // The sessions that are left keep their connections.
        if (it.relays.draining_since)
            return;
    }
    update_shares(it, *known, started);
    after(it, it.owners_settled ? watch_interval : first_interval,
          [&it, known, started] { keep_updating(it, known, started); });
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
    if (!it.settings.peers)
    {
        it.owners_settled = true;
        return;
    }
    detail::keep_updating(it, std::make_shared<detail::known_shares>(),
                          core::runtime_clock::now());
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

bool serves_group(app& it, const core::group_id& group)
{
    std::lock_guard lock(it.relays.mutex);
    const auto g = it.relays.groups.find(group);
    return g == it.relays.groups.end() ||
           owners::is_owner(g->second, it.settings.name);
}

std::optional<std::size_t> count_owners(app& it, const core::group_id& group)
{
    std::lock_guard lock(it.relays.mutex);
    const auto g = it.relays.groups.find(group);
    if (g == it.relays.groups.end() || g->second.all_hosts)
        return std::nullopt;
    return g->second.owners.size();
}

}  // namespace godwitbarrow::proxy::pooled
