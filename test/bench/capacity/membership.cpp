#include "capacity.hpp"
#include "godwitbarrow/membership/decide.hpp"

namespace godwitbarrow::capacity
{
namespace
{

using namespace std::chrono_literals;
using namespace membership;

/// Rounds behind each mean.
constexpr std::size_t rounds = 200;

/// One of the hosts in 15 data centres and 6 regions.
host_entry make_host(std::size_t n)
{
    const auto centre = n % 15;
    return {{"host-" + std::to_string(10000 + n)},
            {"centre-" + std::to_string(centre)},
            {"region-" + std::to_string(centre % 6)},
            {"127.0.0.1", 7000},
            false};
}

struct host
{
    state known;
    core::time_point now{1h};
};

/// A host that knows `n` hosts and the report of each.
host make_fleet_member(std::size_t n)
{
    host_list list{1, {}, {}};
    for (std::size_t i = 0; i < n; ++i)
        list.hosts.push_back(make_host(i));
    host it;
    it.known = make_state(list.hosts[0], {}, it.now);
    decide(it.known, host_list_read{list}, it.now);
    news content;
    for (std::size_t i = 1; i < n; ++i)
        content.reports.push_back({list.hosts[i].host, 1, false, false, {}});
    decide(it.known, news_received{list.hosts[1].host, content}, it.now);
    // The announcement of these hosts is due and not part of any figure.
    it.now += 1s;
    decide(it.known, servers_unreachable{}, it.now);
    return it;
}

std::size_t state_bytes(std::size_t n)
{
    const auto before = heap_bytes();
    const auto it = make_fleet_member(n);
    return heap_bytes() - before;
}

/// The replies of peers that know the same, and of the platform.
std::vector<event> replies_to(const host& at, const std::vector<action>& sent)
{
    std::vector<event> replies;
    for (const auto& it : sent)
        if (const auto* summary = std::get_if<send_summary>(&it))
        {
            replies.push_back(summary_received{summary->to, summary->content});
            auto& reply = std::get<summary_received>(replies.back()).content;
            reply.own = at.known.reports.at(summary->to);
            reply.reply = true;
        }
        else if (std::holds_alternative<read_host_list>(it))
            replies.push_back(host_list_read{at.known.hosts});
    return replies;
}

/// Mean of a second without changes: ten ticks, one of which sends summaries,
/// and the replies.
std::chrono::nanoseconds second_time(std::size_t n)
{
    auto at = make_fleet_member(n);
    std::chrono::nanoseconds used{0};
    for (std::size_t i = 0; i < rounds; ++i, at.now += 100ms)
    {
        std::vector<action> sent;
        used += processor_time(
            [&]
            {
                for (int step = 0; step < 10; ++step, at.now += 100ms)
                    for (auto& it : decide(at.known, tick{}, at.now))
                        sent.push_back(std::move(it));
            });
        at.now -= 100ms;
        const auto replies = replies_to(at, sent);
        used += processor_time(
            [&]
            {
                for (const auto& it : replies)
                    decide(at.known, it, at.now);
            });
    }
    require(at.known.silent.empty(), "no host is suspected");
    return used / rounds;
}

/// Mean of the events that `make` builds for versions from 2, one a second.
template <class Make>
std::chrono::nanoseconds event_time(std::size_t n, Make make)
{
    auto at = make_fleet_member(n);
    std::vector<event> events;
    for (std::size_t i = 0; i < rounds; ++i)
        events.push_back(make(at, i + 2));
    return processor_time(
               [&]
               {
                   for (const auto& it : events)
                       decide(at.known, it, at.now += 1s);
               }) /
           rounds;
}

event equal_summary(const host& at, std::uint64_t)
{
    return summary_received{make_host(1).host,
                            {0, at.known.hosts.version, 0, 0,
                             at.known.reports.at(make_host(1).host), false}};
}

event news_of_report(const host&, std::uint64_t version)
{
    news it;
    it.reports.push_back({make_host(1).host, version, false, false, {}});
    return news_received{make_host(1).host, it};
}

event news_of_host(const host&, std::uint64_t version)
{
    auto changed = make_host(2);
    changed.leaving = version % 2 == 0;
    news it;
    it.hosts.push_back({version - 1, version, {changed}, {}, {}});
    return news_received{make_host(1).host, it};
}

}  // namespace

std::vector<series> measure_membership()
{
    const std::vector<std::size_t> sizes{4, 40, 400, 3600};
    const auto unit = "known host";
    const auto mean = [&](const std::string& name, auto make)
    {
        return sweep("processor time of " + name, unit, sizes,
                     [make](std::size_t n) { return event_time(n, make); });
    };
    return {sweep("heap of the membership state", unit, sizes, state_bytes),
            sweep("processor time of a second of membership ticks", unit, sizes,
                  second_time),
            mean("a summary with its reply", equal_summary),
            mean("news of one report", news_of_report),
            mean("news of one host", news_of_host)};
}

}  // namespace godwitbarrow::capacity
