#include <algorithm>
#include <numeric>

#include "detail.hpp"

namespace godwitbarrow::membership::detail
{
namespace
{

std::uint64_t total(const digests& it)
{
    // Buckets are weighted by place, so that equal changes do not cancel.
    std::uint64_t h = 0;
    for (const auto digest : it)
        h = h * 1099511628211ULL + digest;
    return h;
}

std::vector<core::data_centre_id> other_centres(const state& it)
{
    std::set<core::data_centre_id> centres;
    for (const auto& [name, host] : it.directory)
        if (host.data_centre != it.self.data_centre)
            centres.insert(host.data_centre);
    return {centres.begin(), centres.end()};
}

/// One host in each of some other data centres.
std::vector<core::host_id> far_neighbours(const state& it, std::uint64_t seed)
{
    auto centres = other_centres(it);
    std::sort(centres.begin(), centres.end(),
              [&](const auto& a, const auto& b)
              { return hash_of(a.value, seed) < hash_of(b.value, seed); });
    std::vector<core::host_id> hosts;
    for (const auto& centre : centres)
    {
        if (hosts.size() == it.bounds.far_fan_out)
            break;
        const auto best = best_hosts(peers_in(it, centre), seed, 1);
        hosts.insert(hosts.end(), best.begin(), best.end());
    }
    return hosts;
}

std::vector<core::host_id> neighbours(const state& it)
{
    const auto seed = hash_of(it.self.host.value, it.round);
    auto hosts = best_hosts(peers_in(it, it.self.data_centre), seed,
                            it.bounds.near_fan_out);
    const auto far = far_neighbours(it, seed);
    hosts.insert(hosts.end(), far.begin(), far.end());
    return hosts;
}

/// A suspected host is contacted now and then, so that it is found again.
std::vector<core::host_id> one_suspected(const state& it)
{
    std::vector<core::host_id> hosts;
    for (const auto& [name, host] : it.directory)
        if (name != it.self.host && suspected(it, name))
            hosts.push_back(name);
    return best_hosts(hosts, hash_of(it.self.host.value, it.round), 1);
}

bool differs(const state& it, const summary& what)
{
    return what.settings_generation > it.settings_generation ||
           what.hosts_version > it.hosts.version ||
           what.views_digest != total(it.view_digests) ||
           what.reports_digest != total(it.report_digests);
}

}  // namespace

summary own_summary(const state& it, bool reply)
{
    summary own;
    own.settings_generation = it.settings_generation;
    own.hosts_version = it.hosts.version;
    own.views_digest = total(it.view_digests);
    own.reports_digest = total(it.report_digests);
    own.own = it.reports.at(it.self.host);
    own.reply = reply;
    return own;
}

void begin_round_if_due(step& at)
{
    auto& it = at.it;
    if (at.now < it.next_round)
        return;
    it.next_round = at.now + it.bounds.summary_interval;
    ++it.round;
    // An offer that was not accepted by now may be made again.
    it.settings_offered = 0;
    it.requested_at.clear();
    for (const auto& host : neighbours(it))
    {
        at.out.push_back(send_summary{host, own_summary(it, false)});
        expect_answer(at, host);
    }
    for (const auto& host : one_suspected(it))
        at.out.push_back(send_summary{host, own_summary(it, false)});
}

void take_summary(step& at, const core::host_id& from, const summary& what)
{
    heard_from(at, from);
    take_report(at, what.own);
    if (!what.reply)
        at.out.push_back(send_summary{from, own_summary(at.it, true)});
    if (differs(at.it, what) && at.it.requested_at.count(from) == 0)
        request_news(at, from);
}

void request_news(step& at, const core::host_id& from)
{
    auto& it = at.it;
    news_request request;
    request.settings_generation = it.settings_generation;
    request.hosts_version = it.hosts.version;
    request.chunk_version = it.transfer.version;
    request.chunk_index = it.transfer.next_index;
    request.views = it.view_digests;
    request.reports = it.report_digests;
    it.requested_at[from] = at.now;
    at.out.push_back(send_request{from, request});
}

void push_news(step& at)
{
    auto& it = at.it;
    if (at.now < it.next_push || count_items(it.outbox) == 0)
        return;
    it.next_push = at.now + it.bounds.tick_interval;
    const auto message = take_message(it.outbox, it.bounds.largest_news);
    for (const auto& host : neighbours(it))
        at.out.push_back(send_news{host, message});
}

}  // namespace godwitbarrow::membership::detail
