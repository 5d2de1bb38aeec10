#include <algorithm>

#include "detail.hpp"

namespace godwitbarrow::membership::detail
{
namespace
{

/// Hosts that can probe a peer for this one; near ones first.
std::vector<core::host_id> probers(const state& it, const core::host_id& target)
{
    auto hosts = peers_in(it, it.self.data_centre);
    if (hosts.size() <= it.bounds.probes)
        for (const auto& [name, host] : it.directory)
            if (host.data_centre != it.self.data_centre && !suspected(it, name))
                hosts.push_back(name);
    hosts.erase(std::remove(hosts.begin(), hosts.end(), target), hosts.end());
    const auto seed = hash_of(target.value, it.round);
    return best_hosts(hosts, seed, it.bounds.probes);
}

void probe(step& at, const core::host_id& target, expectation& open)
{
    const auto hosts = probers(at.it, target);
    open.probed_at = at.now;
    open.probes_open = hosts.size();
    for (const auto& host : hosts)
        at.out.push_back(ask_probe{host, target});
}

/// Other hosts learn of the suspicion only if one of them shares it: a host
/// that is cut off would otherwise report all others.
void suspect(step& at, const core::host_id& target, bool confirmed)
{
    if (!confirmed)
    {
        at.it.silent.insert(target);
        at.it.hosts_dirty = true;
        return;
    }
    auto report = at.it.reports[target];
    report.host = target;
    report.suspected = true;
    ++report.version;
    take_report(at, report);
}

bool concluded(const state& it, const expectation& open, core::time_point now)
{
    return open.probed_at && (open.probes_open == 0 ||
                              now >= *open.probed_at + it.bounds.probe_timeout);
}

}  // namespace

void heard_from(step& at, const core::host_id& host)
{
    auto& it = at.it;
    it.waiting_for.erase(host);
    if (it.silent.erase(host) != 0)
        it.hosts_dirty = true;
    const auto report = it.reports.find(host);
    if (report == it.reports.end() || !report->second.suspected)
        return;
    // The host answers the suspicion with a higher version.
    news reply;
    reply.reports.push_back(report->second);
    at.out.push_back(send_news{host, reply});
}

void expect_answer(step& at, const core::host_id& host)
{
    if (!suspected(at.it, host))
        at.it.waiting_for.emplace(host, expectation{at.now, {}, 0, false});
}

void take_probe(step& at, const probe_answered& what)
{
    heard_from(at, what.via);
    const auto found = at.it.waiting_for.find(what.target);
    if (found == at.it.waiting_for.end() || found->second.probes_open == 0)
        return;
    if (what.reachable)
    {
        at.it.waiting_for.erase(found);
        return;
    }
    --found->second.probes_open;
    found->second.confirmed = true;
}

void take_link(step& at, const link_changed& what)
{
    if (what.up)
    {
        heard_from(at, what.peer);
        return;
    }
    if (at.it.directory.count(what.peer) == 0)
        return;
    expect_answer(at, what.peer);
    const auto found = at.it.waiting_for.find(what.peer);
    // A broken link is probed at once.
    if (found != at.it.waiting_for.end())
        found->second.since = at.now - at.it.bounds.peer_timeout;
}

void review_peers(step& at)
{
    auto& open = at.it.waiting_for;
    for (auto it = open.begin(); it != open.end();)
    {
        if (!it->second.probed_at &&
            at.now >= it->second.since + at.it.bounds.peer_timeout)
            probe(at, it->first, it->second);
        const bool gone = at.it.directory.count(it->first) == 0;
        if (!gone && !concluded(at.it, it->second, at.now))
        {
            ++it;
            continue;
        }
        if (!gone)
            suspect(at, it->first, it->second.confirmed);
        it = open.erase(it);
    }
}

}  // namespace godwitbarrow::membership::detail
