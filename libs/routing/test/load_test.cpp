#include "godwitbarrow/routing/load.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <numeric>
#include <queue>
#include <random>

using namespace godwitbarrow;
using namespace godwitbarrow::routing;
using namespace std::chrono_literals;

namespace
{

const core::host_id self{"host-1"};
constexpr core::time_point start{1000s};

load_candidate idle_server(const std::string& name)
{
    load_candidate it;
    it.server = {name};
    it.slots = 5;
    return it;
}

/// A server on which each statement takes as long as given beyond the network.
load_candidate observed_server(const std::string& name, core::duration busy)
{
    auto it = idle_server(name);
    record_success(it.load, {}, 2ms, start);
    for (int n = 0; n < 100; ++n)
        record_success(it.load, {}, 2ms + busy, start);
    return it;
}

/// The statements of many hosts on the servers of one group, in steps of one
/// millisecond. Each host knows the outcome of its own statements only.
struct crowd
{
    static constexpr std::size_t hosts = 40;
    static constexpr std::size_t servers = 3;
    static constexpr std::size_t slots = 5;
    static constexpr double statements_per_ms = 0.35;
    static constexpr core::duration round_trip = 2ms;

    struct statement
    {
        std::size_t host = 0;
        core::time_point sent;
        core::time_point done;
    };

    std::array<core::duration, servers> work{20ms, 20ms, 20ms};
    std::vector<std::array<load_candidate, servers>> view;
    std::array<std::vector<statement>, servers> at;
    /// When each slot of a server is free.
    std::array<std::array<core::time_point, slots>, servers> free_at{};
    std::array<std::size_t, servers> sent{};
    std::vector<double> imbalance;
    std::vector<core::duration> times;
    std::minstd_rand random{20261207};

    crowd() : view(hosts)
    {
        for (auto& host : view)
            for (std::size_t n = 0; n < servers; ++n)
                host[n] = idle_server("s" + std::to_string(n));
    }

    using policy = std::function<std::size_t(crowd&, std::size_t host,
                                             core::time_point now)>;

    void finish(core::time_point now)
    {
        for (std::size_t n = 0; n < servers; ++n)
        {
            auto& all = at[n];
            const auto done =
                std::partition(all.begin(), all.end(),
                               [&](const auto& s) { return s.done > now; });
            for (auto s = done; s != all.end(); ++s)
            {
                auto& seen = view[s->host][n];
                --seen.running;
                record_success(seen.load, {}, s->done - s->sent, now);
                times.push_back(s->done - s->sent);
            }
            all.erase(done, all.end());
        }
    }

    void send(std::size_t host, std::size_t server, core::time_point now)
    {
        auto& slot =
            *std::min_element(free_at[server].begin(), free_at[server].end());
        slot = std::max(slot, now) + work[server];
        at[server].push_back({host, now, slot + round_trip});
        ++view[host][server].running;
        ++sent[server];
    }

    void run(std::chrono::milliseconds length, const policy& choose)
    {
        std::poisson_distribution<int> arrivals(statements_per_ms);
        std::uniform_int_distribution<std::size_t> any(0, hosts - 1);
        for (auto t = 0ms; t < length; ++t)
        {
            const auto now = start + t;
            finish(now);
            for (int n = arrivals(random); n > 0; --n)
            {
                const auto host = any(random);
                send(host, choose(*this, host, now), now);
            }
            if (t.count() % 1000 == 999)
                close_window();
        }
    }

    /// Busiest server over the mean, of the last second.
    void close_window()
    {
        const auto all = std::accumulate(sent.begin(), sent.end(), 0.0);
        const auto most =
            static_cast<double>(*std::max_element(sent.begin(), sent.end()));
        imbalance.push_back(most * servers / std::max(all, 1.0));
        sent = {};
    }

    core::duration percentile(double share)
    {
        std::sort(times.begin(), times.end());
        return times[static_cast<std::size_t>(
            share * static_cast<double>(times.size() - 1))];
    }

    double worst_second() const
    {
        // The first second has nothing to go by.
        return *std::max_element(imbalance.begin() + 1, imbalance.end());
    }
};

/// The former rule: the server with the fewest statements of the own host, at a
/// tie the first by name.
std::size_t least_running(crowd& it, std::size_t host, core::time_point)
{
    const auto& all = it.view[host];
    const auto best = std::min_element(all.begin(), all.end(),
                                       [](const auto& a, const auto& b)
                                       { return a.running < b.running; });
    return static_cast<std::size_t>(best - all.begin());
}

std::size_t least_expected(crowd& it, std::size_t host, core::time_point now)
{
    const auto& all = it.view[host];
    const auto times = expected_times({all.begin(), all.end()}, {},
                                      {"host-" + std::to_string(host)}, now);
    std::size_t best = host % crowd::servers;
    for (std::size_t n = 0; n < times.size(); ++n)
        if (times[n] < times[best])
            best = n;
    return best;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(the_expected_time_on_a_server)

BOOST_AUTO_TEST_SUITE(follows_what_its_statements_took)

// Guards against a slow server that gets as much as the others because it
// reports that it is healthy.
BOOST_AUTO_TEST_CASE(and_is_longer_on_a_slow_one)
{
    const auto got = expected_times(
        {observed_server("fast", 20ms), observed_server("slow", 100ms)}, {},
        self, start);
    BOOST_TEST((got[0] + 40ms < got[1]));
}

BOOST_AUTO_TEST_CASE(and_grows_with_the_own_statements_ahead)
{
    auto loaded = observed_server("a", 20ms);
    loaded.running = 20;
    const auto got =
        expected_times({loaded, observed_server("b", 20ms)}, {}, self, start);
    BOOST_TEST((got[0] > got[1] + 40ms));
}

// Guards against a server that fails at once and therefore looks fast.
BOOST_AUTO_TEST_CASE(and_counts_failures_as_lost_time)
{
    auto failing = observed_server("a", 10ms);
    for (int n = 0; n < 20; ++n)
        record_failure(failing.load, {}, start);
    const auto got =
        expected_times({failing, observed_server("b", 30ms)}, {}, self, start);
    BOOST_TEST((got[0] > got[1] + 200ms));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a server that is avoided for ever for one bad second.
BOOST_AUTO_TEST_CASE(returns_to_the_mean_without_news)
{
    const std::vector<load_candidate> all{observed_server("a", 20ms),
                                          observed_server("b", 200ms)};
    load_settings settings;
    settings.variation = 0;
    const auto difference = [&](core::duration age)
    {
        const auto got = expected_times(all, settings, self, start + age);
        return got[1] - got[0];
    };
    BOOST_TEST((difference(0s) > 150ms));
    BOOST_TEST((difference(2s) < 100ms));
    BOOST_TEST((difference(20s) < 5ms));
}

// Guards against reads on the primary while its replicas are idle, and against
// replicas that are overrun while it is idle.
BOOST_AUTO_TEST_CASE(is_longer_where_only_that_server_can_run_other_work)
{
    auto primary = observed_server("primary", 20ms);
    primary.reserved = true;
    auto got = expected_times({primary, observed_server("replica", 20ms)}, {},
                              self, start);
    BOOST_TEST((got[0] > got[1]));
    got = expected_times({primary, observed_server("replica", 200ms)}, {}, self,
                         start);
    BOOST_TEST((got[0] < got[1]));
}

BOOST_AUTO_TEST_CASE(does_not_change_for_less_than_its_resolution)
{
    load_settings settings;
    settings.variation = 0;
    const auto got =
        expected_times({observed_server("a", 20ms), observed_server("b", 21ms)},
                       settings, self, start);
    BOOST_TEST((got[0] == got[1]));
}

BOOST_AUTO_TEST_SUITE(keeps_the_servers_of_many_hosts_even)

// Load: 40 hosts with a statement each 110 ms, of which none knows what the
// others send. By the own statements alone nearly all choose the same server.
BOOST_AUTO_TEST_CASE(when_all_servers_are_alike)
{
    crowd before;
    before.run(10s, least_running);
    crowd after;
    after.run(10s, least_expected);
    BOOST_TEST_MESSAGE("busiest over mean " << before.worst_second() << " -> "
                                            << after.worst_second());
    BOOST_TEST(before.worst_second() > 1.5);
    BOOST_TEST(after.worst_second() < 1.35);
    BOOST_TEST((after.percentile(0.99) < before.percentile(0.99)));
}

// Load: one of three servers takes five times as long for each statement.
BOOST_AUTO_TEST_CASE(when_one_is_slow)
{
    crowd before;
    before.work[1] = 100ms;
    before.run(10s, least_running);
    crowd after;
    after.work[1] = 100ms;
    after.run(10s, least_expected);
    BOOST_TEST((after.percentile(0.95) < before.percentile(0.95)));
    BOOST_TEST((after.percentile(0.95) < 500ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
