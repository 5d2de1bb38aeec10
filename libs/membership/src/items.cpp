#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "detail.hpp"

namespace godwitbarrow::membership::detail
{
namespace
{

std::uint64_t digest_of(const group_view& it)
{
    return hash_of(it.group.value, it.version);
}

std::uint64_t digest_of(const host_report& it)
{
    auto h = hash_of(it.host.value, it.version * 4 + (it.suspected ? 2U : 0U) +
                                        (it.leaving ? 1U : 0U));
    for (const auto& server : it.unreachable)
        h = hash_of(server.value, h);
    return h;
}

/// Reports of one version may differ, as a suspicion and a change by the host
/// itself can coincide. The order makes all hosts keep the same one.
bool newer(const host_report& a, const host_report& b)
{
    return std::tie(b.version, b.suspected, b.leaving, b.unreachable) <
           std::tie(a.version, a.suspected, a.leaving, a.unreachable);
}

void store_report(state& it, const host_report& what)
{
    auto& digest = it.report_digests[bucket_of(what.host.value)];
    const auto found = it.reports.find(what.host);
    if (found != it.reports.end())
        digest ^= digest_of(found->second);
    digest ^= digest_of(what);
    it.reports[what.host] = what;
    it.hosts_dirty = true;
}

bool known_host(const state& it, const core::host_id& host)
{
    return it.hosts.version == 0 || it.directory.count(host) != 0;
}

}  // namespace

bool take_view(state& it, const group_view& what)
{
    const auto found = it.views.find(what.group);
    if (found != it.views.end() && what.version <= found->second.version)
        return false;
    auto& digest = it.view_digests[bucket_of(what.group.value)];
    if (found != it.views.end())
        digest ^= digest_of(found->second);
    digest ^= digest_of(what);
    it.views[what.group] = what;
    it.outbox.views.push_back(what);
    return true;
}

bool take_report(step& at, const host_report& what)
{
    auto& it = at.it;
    if (!known_host(it, what.host))
        return false;
    const auto found = it.reports.find(what.host);
    if (found != it.reports.end() && !newer(what, found->second))
        return false;
    if (what.host == it.self.host)
    {
        // A suspicion of this host, or the report of its former process.
        auto own = it.reports[it.self.host];
        own.version = what.version;
        publish_report(at, std::move(own));
        return true;
    }
    store_report(it, what);
    it.outbox.reports.push_back(what);
    return true;
}

void publish_report(step& at, host_report own)
{
    own.host = at.it.self.host;
    own.suspected = false;
    ++own.version;
    store_report(at.it, own);
    at.it.outbox.reports.push_back(std::move(own));
}

void take_settings(step& at, const settings_delta& what)
{
    auto& it = at.it;
    const auto known = std::max(it.settings_generation, it.settings_offered);
    const bool fits = what.base == 0 || what.base == known;
    if (what.generation <= known || !fits)
        return;
    it.settings_offered = what.generation;
    at.out.push_back(apply_settings{what});
}

void accept_settings(step& at, const settings_delta& what)
{
    auto& it = at.it;
    if (what.generation <= it.settings_generation)
        return;
    if (what.base != it.settings_generation || what.base == 0)
        it.settings_deltas.clear();
    it.settings_generation = what.generation;
    if (what.base == 0)
        return;
    it.settings_deltas.push_back(what);
    if (it.settings_deltas.size() > it.bounds.kept_deltas)
        it.settings_deltas.pop_front();
    it.outbox.settings.push_back(what);
}

void forget_missing_hosts(step& at)
{
    auto& it = at.it;
    for (auto report = it.reports.begin(); report != it.reports.end();)
    {
        if (report->first == it.self.host || known_host(it, report->first))
        {
            ++report;
            continue;
        }
        it.report_digests[bucket_of(report->first.value)] ^=
            digest_of(report->second);
        report = it.reports.erase(report);
    }
    for (auto host = it.silent.begin(); host != it.silent.end();)
        host = known_host(it, *host) ? std::next(host) : it.silent.erase(host);
}

}  // namespace godwitbarrow::membership::detail
