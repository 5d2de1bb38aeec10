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
    it.directory.clear();
    for (const auto& host : it.hosts.hosts)
        it.directory[host.host] = host;
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

bool suspected(const state& it, const core::host_id& host)
{
    if (it.silent.count(host) != 0)
        return true;
    const auto report = it.reports.find(host);
    return report != it.reports.end() && report->second.suspected;
}

std::vector<core::host_id> peers_in(const state& it,
                                    const core::data_centre_id& centre)
{
    std::vector<core::host_id> hosts;
    for (const auto& [name, host] : it.directory)
        if (host.data_centre == centre && name != it.self.host &&
            !suspected(it, name))
            hosts.push_back(name);
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
    if (!std::exchange(it.hosts_dirty, false))
        return;
    hosts_changed current;
    auto directory = it.directory;
    directory[it.self.host] = it.self;
    directory[it.self.host].leaving = it.leaving;
    for (const auto& [name, host] : directory)
        if (usable(it, host))
            current.hosts.push_back(host);
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
