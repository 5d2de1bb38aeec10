#include <algorithm>
#include <utility>

#include "detail.hpp"

namespace godwitbarrow::membership::detail
{
namespace
{

host_delta difference(const host_list& from, const host_list& to)
{
    host_delta it{from.version, to.version, {}, {}, to.leaving_servers};
    std::map<core::host_id, host_entry> old;
    for (const auto& host : from.hosts)
        old[host.host] = host;
    for (const auto& host : to.hosts)
    {
        const auto found = old.find(host.host);
        if (found == old.end() || found->second != host)
            it.changed.push_back(host);
        if (found != old.end())
            old.erase(found);
    }
    for (const auto& [host, entry] : old)
        it.removed.push_back(host);
    return it;
}

void announce_leaving_servers(step& at)
{
    const auto& list = at.it.hosts.leaving_servers;
    const std::set<core::server_id> now(list.begin(), list.end());
    for (const auto& server : now)
        if (at.it.leaving_servers.count(server) == 0)
            at.out.push_back(server_leaving{server, true});
    for (const auto& server : at.it.leaving_servers)
        if (now.count(server) == 0)
            at.out.push_back(server_leaving{server, false});
    at.it.leaving_servers = now;
}

void install(step& at, host_list list)
{
    auto& it = at.it;
    it.hosts = std::move(list);
    fill_directory(it, it.hosts.hosts);
    it.transfer = {};
    it.hosts_dirty = true;
    forget_missing_hosts(at);
    announce_leaving_servers(at);
}

void keep_delta(state& it, host_delta delta)
{
    it.outbox.hosts.push_back(delta);
    it.host_deltas.push_back(std::move(delta));
    if (it.host_deltas.size() > it.bounds.kept_deltas)
        it.host_deltas.pop_front();
}

bool reads_list(const state& it)
{
    if (it.hosts.version == 0)
        return true;
    auto hosts = peers_in(it, it.self.data_centre);
    hosts.push_back(it.self.host);
    const auto seed = hash_of(it.self.data_centre.value, 0);
    const auto readers = best_hosts(hosts, seed, it.bounds.host_list_readers);
    return std::find(readers.begin(), readers.end(), it.self.host) !=
           readers.end();
}

bool usable(const state& it, const host_entry& host)
{
    if (host.leaving || suspected(it, host.host))
        return false;
    const auto report = it.reports.find(host.host);
    return report == it.reports.end() || !report->second.leaving;
}

}  // namespace

void fill_directory(state& it, const std::vector<host_entry>& hosts)
{
    it.directory.clear();
    it.centres.clear();
    for (const auto& host : hosts)
    {
        it.directory[host.host] = host;
        it.centres[host.data_centre].push_back(host.host);
    }
}

bool suspected(const state& it, const core::host_id& host)
{
    return it.silent.count(host) != 0 || it.suspects.count(host) != 0;
}

std::vector<core::host_id> peers_in(const state& it,
                                    const core::data_centre_id& centre)
{
    std::vector<core::host_id> hosts;
    const auto found = it.centres.find(centre);
    if (found == it.centres.end())
        return hosts;
    for (const auto& host : found->second)
        if (host != it.self.host && !suspected(it, host))
            hosts.push_back(host);
    return hosts;
}

void read_list_if_due(step& at)
{
    auto& it = at.it;
    if (it.reading_host_list || at.now < it.next_host_list)
        return;
    it.next_host_list = at.now + it.bounds.host_list_interval;
    if (!reads_list(it))
        return;
    it.reading_host_list = true;
    at.out.push_back(read_host_list{});
}

void take_list(step& at, const host_list_read& what)
{
    auto& it = at.it;
    it.reading_host_list = false;
    const auto* list = std::get_if<host_list>(&what.list);
    if (list == nullptr || list->version <= it.hosts.version)
        return;
    auto sorted = *list;
    std::sort(sorted.hosts.begin(), sorted.hosts.end(),
              [](const auto& a, const auto& b) { return a.host < b.host; });
    if (it.hosts.version != 0)
        keep_delta(it, difference(it.hosts, sorted));
    install(at, std::move(sorted));
}

bool take_delta(step& at, const host_delta& what)
{
    auto& it = at.it;
    if (what.base > it.hosts.version || what.version <= it.hosts.version ||
        it.hosts.version == 0)
        return false;
    auto merged = it.directory;
    for (const auto& host : what.removed)
        merged.erase(host);
    for (const auto& host : what.changed)
        merged[host.host] = host;
    host_list list{what.version, {}, what.leaving_servers};
    for (const auto& [name, host] : merged)
        list.hosts.push_back(host);
    keep_delta(it, what);
    install(at, std::move(list));
    return true;
}

void take_chunk(step& at, const core::host_id& from, const host_chunk& what)
{
    auto& it = at.it;
    auto& transfer = it.transfer;
    if (what.version <= it.hosts.version || what.version < transfer.version)
        return;
    if (what.version > transfer.version)
        transfer = {what.version, 0, {}};
    if (what.index != transfer.next_index)
        return;
    transfer.hosts.insert(transfer.hosts.end(), what.hosts.begin(),
                          what.hosts.end());
    if (++transfer.next_index < what.count)
        request_news(at, from);
    else
        install(at, {what.version, transfer.hosts, what.leaving_servers});
}

void announce_hosts(step& at)
{
    auto& it = at.it;
    if (!it.hosts_dirty || at.now < it.next_announcement)
        return;
    it.hosts_dirty = false;
    it.next_announcement = at.now + it.bounds.tick_interval;
    hosts_changed current;
    for (const auto& [name, host] : it.directory)
        if (usable(it, host))
            current.hosts.push_back(host);
    // A host that the list lacks so far still serves.
    if (it.directory.count(it.self.host) == 0 && !it.leaving)
        current.hosts.insert(std::lower_bound(current.hosts.begin(),
                                              current.hosts.end(), it.self,
                                              [](const auto& a, const auto& b)
                                              { return a.host < b.host; }),
                             it.self);
    for (const auto& [name, report] : it.reports)
        if (!report.unreachable.empty())
            current.unreachable[name] = report.unreachable;
    if (current.hosts == it.announced.hosts &&
        current.unreachable == it.announced.unreachable)
        return;
    it.announced = current;
    at.out.push_back(std::move(current));
}

}  // namespace godwitbarrow::membership::detail
