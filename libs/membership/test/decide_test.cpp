#include "godwitbarrow/membership/decide.hpp"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <numeric>

#include "sim/fleet.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::membership;
using namespace std::chrono_literals;

namespace
{

constexpr auto limit = 10s;
// Of news that is pushed. Summaries alone took 1150 ms at 40 hosts and 1850 ms
// at 400 hosts.
constexpr auto pushed_within = 1s;

sim::shape shape_of(std::size_t hosts)
{
    sim::shape it;
    it.hosts = hosts;
    it.centres = hosts < 40 ? 3 : 6;
    it.regions = 2;
    return it;
}

bool knows_all(const sim::model_host& host, std::size_t hosts)
{
    return host.usable.size() == hosts;
}

/// A fleet in which every host knows all hosts.
struct settled_fleet
{
    explicit settled_fleet(std::size_t n)
        : fleet(sim::make_fleet(shape_of(n))), f(*fleet)
    {
        const auto t = sim::time_until(
            f, limit, [n](const auto& it) { return knows_all(it, n); });
        BOOST_REQUIRE((t < limit));
        sim::run_for(f, 2s);
        sim::reset_counters(f);
    }

    void expect_soon(const std::function<bool(const sim::model_host&)>& done,
                     const char* what, core::duration bound = limit)
    {
        const auto t = sim::time_until(f, bound, done);
        BOOST_TEST_MESSAGE(
            f.hosts.size()
            << " hosts, " << what << ": "
            << std::chrono::duration_cast<std::chrono::milliseconds>(t).count()
            << " ms");
        BOOST_TEST((t < bound), what);
    }

    std::unique_ptr<sim::fleet> fleet;
    sim::fleet& f;
};

struct cost
{
    double messages = 0;
    double bytes = 0;
    std::size_t contacted = 0;
    std::size_t largest = 0;
};

/// Average of a host in a second, and the highest figures of any host.
cost measure_cost(sim::fleet& f, std::chrono::seconds length)
{
    sim::reset_counters(f);
    sim::run_for(f, length);
    cost it;
    for (const auto& host : f.hosts)
    {
        it.messages += static_cast<double>(host.messages);
        it.bytes += static_cast<double>(host.bytes);
        it.contacted = std::max(it.contacted, host.most_contacted);
        it.largest = std::max(it.largest, host.largest_message);
    }
    const auto n = static_cast<double>(f.hosts.size()) *
                   static_cast<double>(length.count());
    it.messages /= n;
    it.bytes /= n;
    return it;
}

const auto fleet_sizes =
    boost::unit_test::data::make(std::vector<std::size_t>{4, 40, 400});

}  // namespace

BOOST_AUTO_TEST_SUITE(a_host_starts)

// Guards against the end of a process whose listener is open before its host
// table is filled: a summary of a peer then found no report of the host.
BOOST_AUTO_TEST_CASE(and_ignores_peers_until_it_knows_itself)
{
    state it;
    const core::time_point now{1000s};
    const core::host_id peer{"entry-1"};
    BOOST_TEST(decide(it, summary_received{peer, {}}, now).empty());
    BOOST_TEST(decide(it, request_received{peer, {}}, now).empty());
    BOOST_TEST(decide(it, news_received{peer, {}}, now).empty());
    BOOST_TEST(decide(it, link_changed{peer, true}, now).empty());
    BOOST_TEST(decide(it, tick{}, now).empty());

    host_entry self;
    self.host = {"entry-2"};
    it = make_state(self, {}, now);
    BOOST_TEST(!decide(it, summary_received{peer, {}}, now).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_fleet_that_knows_its_hosts)

BOOST_AUTO_TEST_SUITE(spreads_a_change_to_every_host)

// Guards against settings that reach a part of the fleet only.
BOOST_DATA_TEST_CASE(of_the_settings, fleet_sizes, n)
{
    settled_fleet it(n);
    sim::feed(it.f, 0, settings_accepted{{0, 1, "whole"}});
    it.expect_soon([](const auto& host)
                   { return host.known.settings_generation == 1; },
                   "whole settings");
    sim::feed(it.f, n - 1, settings_accepted{{1, 2, std::string(1000, 'x')}});
    it.expect_soon([](const auto& host)
                   { return host.known.settings_generation == 2; },
                   "settings delta", pushed_within);
}

// Guards against hosts that keep an old primary.
BOOST_DATA_TEST_CASE(of_a_group_view, fleet_sizes, n)
{
    settled_fleet it(n);
    const core::group_id group{"group7"};
    const auto has = [group](core::term_number term)
    {
        return [group, term](const sim::model_host& host)
        {
            const auto found = host.known.views.find(group);
            return found != host.known.views.end() &&
                   found->second.version == term;
        };
    };
    sim::feed(it.f, 0, view_published{{group, 5, "member2"}});
    it.expect_soon(has(5), "group view");
    // An older view must not replace it.
    sim::feed(it.f, 1, view_published{{group, 4, "member1"}});
    sim::run_for(it.f, 3s);
    it.expect_soon(has(5), "group view after an older one");
}

// Guards against hosts that miss a change of the host list.
BOOST_DATA_TEST_CASE(of_the_host_list, fleet_sizes, n)
{
    settled_fleet it(n);
    ++it.f.list.version;
    it.f.list.hosts[1].leaving = true;
    it.f.list.leaving_servers = {{"server3"}};
    it.expect_soon(
        [n](const auto& host)
        { return knows_all(host, n - 1) && host.leaving_servers.size() == 1; },
        "host list");
}

// Guards against work for a host that shuts down.
BOOST_DATA_TEST_CASE(of_a_host_that_leaves, fleet_sizes, n)
{
    settled_fleet it(n);
    sim::feed(it.f, 2, leave_started{});
    it.expect_soon([n](const auto& host) { return knows_all(host, n - 1); },
                   "leaving host", pushed_within);
}

// Guards against owners that cannot reach their server.
BOOST_DATA_TEST_CASE(of_a_server_that_a_host_cannot_reach, fleet_sizes, n)
{
    settled_fleet it(n);
    sim::feed(it.f, 2, servers_unreachable{{{"server1"}}});
    it.expect_soon([](const auto& host)
                   { return host.unreachable.size() == 1; },
                   "unreachable server");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(notices_hosts_that_fail)

// Guards against owners that are dead.
BOOST_DATA_TEST_CASE(a_killed_host_is_left_out, fleet_sizes, n)
{
    settled_fleet it(n);
    sim::kill_host(it.f, 1);
    it.expect_soon([n](const auto& host) { return knows_all(host, n - 1); },
                   "killed host");
}

// Guards against a host that reports all others because it is cut off itself.
BOOST_DATA_TEST_CASE(a_host_that_is_cut_off_suspects_nobody_else_for_others,
                     fleet_sizes, n)
{
    settled_fleet it(n);
    it.f.cut_host = 1;
    sim::run_for(it.f, 6s);
    it.f.cut_host = -1;
    const auto suspected = [](const sim::model_host& host)
    {
        return std::count_if(
            host.known.reports.begin(), host.known.reports.end(),
            [](const auto& report) { return report.second.suspected; });
    };
    const auto others = suspected(it.f.hosts[1]);
    BOOST_TEST(others == 0);
    it.expect_soon([n](const auto& host) { return knows_all(host, n); },
                   "healed host");
}

// Guards against sides that do not find each other again.
BOOST_DATA_TEST_CASE(a_region_that_is_cut_off_returns, fleet_sizes, n)
{
    settled_fleet it(n);
    it.f.cut_region = 1;
    sim::run_for(it.f, 30s);
    sim::feed(it.f, 0, settings_accepted{{0, 1, "whole"}});
    sim::feed(it.f, 0, view_published{{{"group7"}, 5, "member2"}});
    sim::run_for(it.f, 10s);
    BOOST_TEST(it.f.hosts[1].known.settings_generation == 0U);
    it.f.cut_region = -1;
    it.expect_soon(
        [n](const auto& host)
        {
            return host.known.settings_generation == 1 &&
                   host.known.views.size() == 1 && knows_all(host, n);
        },
        "healed region");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(costs_little)

// Guards against traffic that grows with the fleet.
BOOST_AUTO_TEST_CASE(however_many_hosts_there_are)
{
    std::vector<cost> costs;
    for (const std::size_t n : {4U, 40U, 400U})
    {
        settled_fleet it(n);
        costs.push_back(measure_cost(it.f, 20s));
        BOOST_TEST_MESSAGE(n << " hosts: " << costs.back().messages
                             << " messages and " << costs.back().bytes
                             << " bytes per host and second, at most "
                             << costs.back().contacted
                             << " peers contacted in a second, largest message "
                             << costs.back().largest << " bytes");
    }
    constexpr std::size_t neighbours = 5;
    for (const auto& it : costs)
        BOOST_TEST(it.contacted <= neighbours);
    BOOST_TEST(costs[2].messages < costs[1].messages * 1.1);
    BOOST_TEST(costs[2].bytes < costs[1].bytes * 1.1);
}

// Guards against a list that all hosts read.
BOOST_AUTO_TEST_CASE(for_the_platform_that_holds_the_host_list)
{
    settled_fleet it(400);
    sim::run_for(it.f, 10s);
    // Two hosts in each of six data centres, once a second.
    constexpr std::uint64_t reads_a_second = 12;
    BOOST_TEST(it.f.list_reads <= reads_a_second * 11);
    BOOST_TEST(it.f.list_reads >= reads_a_second * 9);
}

// Guards against messages that exceed their bound.
BOOST_AUTO_TEST_CASE(even_when_much_is_new)
{
    settled_fleet it(40);
    for (int g = 0; g < 3000; ++g)
        sim::feed(
            it.f, 0,
            view_published{
                {{"group" + std::to_string(g)}, 2, std::string(40, 'x')}});
    it.expect_soon([](const auto& host)
                   { return host.known.views.size() == 3000; },
                   "3000 group views");
    for (const auto& host : it.f.hosts)
        BOOST_TEST(host.largest_message <= limits{}.largest_news);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
