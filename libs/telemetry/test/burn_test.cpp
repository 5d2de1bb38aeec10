#include "godwitbarrow/telemetry/burn.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace godwitbarrow::telemetry;
using namespace std::chrono_literals;

namespace
{

constexpr objective goal{0.99, 100ms};
constexpr objectives goals{goal, goal, goal};

/// Traffic of urgent requests, one sample a minute.
struct traffic
{
    /// Adds samples for `time` with `total` requests a minute.
    void run(std::chrono::minutes time, std::uint64_t total, std::uint64_t bad)
    {
        for (auto n = time.count(); n > 0; --n)
        {
            now.at += 1min;
            now.by_rank[0].total += total;
            now.by_rank[0].good += total - bad;
            record(all, now);
        }
    }

    double burn(std::chrono::seconds window) const
    {
        return *rate_over(all, core::rank::urgent, goal, window).burn;
    }

    sample now;
    history all;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(urgent_requests_are_counted, traffic)

// Guards against a division by zero and an alarm before there is traffic.
BOOST_AUTO_TEST_CASE(without_traffic_nothing_burns)
{
    BOOST_TEST(!rate_over(all, core::rank::urgent, goal, 5min).burn);
    BOOST_TEST(!compute_burn(all, goals).burning);
    run(10min, 0, 0);
    BOOST_TEST(burn(5min) == 0);
    BOOST_TEST(!compute_burn(all, goals).burning);
}

BOOST_AUTO_TEST_SUITE(and_some_miss_their_objective)

BOOST_AUTO_TEST_CASE(burn_1_is_exactly_the_allowed_share)
{
    run(70min, 1000, 10);
    BOOST_TEST(burn(1h) == 1, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(!compute_burn(all, goals).burning);
}

// Guards against a window that counts requests before its start.
BOOST_AUTO_TEST_CASE(only_the_window_counts)
{
    run(60min, 1000, 500);
    run(5min, 1000, 0);
    BOOST_TEST(burn(5min) == 0);
    BOOST_TEST(burn(1h) > 14.4);
    const auto rate = rate_over(all, core::rank::urgent, goal, 5min);
    BOOST_TEST(rate.total == 5000U);
    BOOST_TEST((rate.covered == 5min));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(and_an_outage_begins)

// Guards against an alarm for a short loss that used little of the budget.
BOOST_AUTO_TEST_CASE(a_short_loss_after_good_hours_does_not_burn)
{
    run(360min, 1000, 0);
    run(5min, 1000, 150);
    BOOST_TEST(burn(5min) > 14.4);
    BOOST_TEST(!compute_burn(all, goals).burning);
}

BOOST_AUTO_TEST_CASE(a_heavy_loss_burns_in_the_fast_pair)
{
    run(360min, 1000, 0);
    run(20min, 1000, 600);
    const auto report = compute_burn(all, goals);
    BOOST_TEST(report.burning);
    BOOST_TEST(report.ranks[0].pairs[0].burning);
    BOOST_TEST(!report.ranks[0].pairs[1].burning);
    BOOST_TEST(!report.ranks[1].burning);
}

BOOST_AUTO_TEST_CASE(a_light_loss_burns_in_the_slow_pair)
{
    run(360min, 1000, 70);
    const auto report = compute_burn(all, goals);
    BOOST_TEST(!report.ranks[0].pairs[0].burning);
    BOOST_TEST(report.ranks[0].pairs[1].burning);
}

// Guards against an alarm that goes on after the fault is gone.
BOOST_AUTO_TEST_CASE(the_verdict_clears_when_the_loss_ends)
{
    run(60min, 1000, 1000);
    BOOST_TEST(compute_burn(all, goals).burning);
    run(31min, 1000, 0);
    BOOST_TEST(!compute_burn(all, goals).burning);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(and_the_process_restarts)

// Guards against a negative or huge difference of two counters.
BOOST_AUTO_TEST_CASE(the_counters_go_on_from_0)
{
    run(10min, 1000, 0);
    now.by_rank = {};
    run(3min, 100, 50);
    const auto rate = rate_over(all, core::rank::urgent, goal, 3min);
    BOOST_TEST(rate.total == 300U);
    BOOST_TEST(rate.bad == 150U);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a history that grows with the age of the process.
BOOST_AUTO_TEST_CASE(samples_beyond_the_longest_window_are_dropped)
{
    run(24h, 10, 0);
    BOOST_TEST(all.samples.size() == 361U);
    record(all, sample{});
    BOOST_TEST(all.samples.size() == 361U);
}

BOOST_AUTO_TEST_SUITE_END()
