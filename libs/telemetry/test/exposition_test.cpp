#include "godwitbarrow/telemetry/exposition.hpp"

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>
#include <cmath>

#include "godwitbarrow/telemetry/metrics.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::telemetry;
using namespace std::chrono_literals;

namespace
{

exposition parsed(std::string_view text)
{
    return std::get<exposition>(parse_exposition(text));
}

constexpr objectives goals{
    {{0.999, 250ms}, {0.99, 70ms}, {0.9, std::chrono::milliseconds(5s)}}};

sample scrape(const metrics& of, core::time_point at)
{
    return sample_from(parsed(expose(of)), goals, at);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(an_operator_scrapes_a_process)

// Guards against a report of the tool that differs from the process's own.
BOOST_AUTO_TEST_CASE(two_scrapes_give_the_burn_rate)
{
    const auto it = make_metrics(goals);
    history all;
    count_request(*it, core::rank::urgent, request_result::unknown, 1s);
    record(all, scrape(*it, core::time_point(0s)));
    for (int n = 0; n < 97; ++n)
        count_request(*it, core::rank::urgent, request_result::completed,
                      200ms);
    count_request(*it, core::rank::urgent, request_result::completed, 300ms);
    count_request(*it, core::rank::urgent, request_result::not_run, 1ms);
    count_request(*it, core::rank::urgent, request_result::unknown, 1ms);
    count_request(*it, core::rank::urgent, request_result::invalid, 1ms);
    record(all, scrape(*it, core::time_point(60s)));
    const auto rate = rate_over(all, core::rank::urgent, goals[0], 5min);
    BOOST_TEST(rate.total == 100U);
    BOOST_TEST(rate.bad == 3U);
    BOOST_TEST(*rate.burn == 30, boost::test_tools::tolerance(1e-6));
    BOOST_TEST((rate.covered == 60s));
}

// Guards against a threshold between two bounds that counts slow requests as
// good.
BOOST_AUTO_TEST_CASE(a_threshold_without_a_bound_is_rounded_down)
{
    const auto it = make_metrics();
    count_request(*it, core::rank::interactive, request_result::completed,
                  40ms);
    count_request(*it, core::rank::interactive, request_result::completed,
                  60ms);
    const auto got = scrape(*it, {}).by_rank[1];
    BOOST_TEST(got.total == 2U);
    BOOST_TEST(got.good == 1U);
}

BOOST_AUTO_TEST_CASE(the_counters_of_two_hosts_are_added)
{
    auto a = sample_from(parsed("godwitbarrow_requests_total{rank=\"urgent\","
                                "result=\"completed\"} 3\n"),
                         goals, {});
    add_counts(a, a);
    BOOST_TEST(a.by_rank[0].total == 6U);
}

BOOST_AUTO_TEST_SUITE(and_reads_the_text)

BOOST_AUTO_TEST_CASE(names_labels_and_values_are_taken)
{
    const auto got = parsed(
        "# HELP a text\n\na 1\n"
        "b{x=\"1\",y=\"a \\\"b\\\" \\\\ \\n}\"} -2.5e3 1700000000\n"
        "c_bucket{le=\"+Inf\",} +Inf\r\nd{} NaN");
    BOOST_REQUIRE(got.size() == 4U);
    BOOST_TEST(got[0].name == "a");
    BOOST_TEST(got[0].value == 1);
    BOOST_TEST(got[1].labels.at("y") == "a \"b\" \\ \n}");
    BOOST_TEST(got[1].value == -2500);
    BOOST_TEST(got[2].labels.at("le") == "+Inf");
    BOOST_TEST(std::isinf(got[2].value));
    BOOST_TEST(std::isnan(got[3].value));
}

// Guards against a wrong port that is reported as a service without traffic.
BOOST_AUTO_TEST_CASE(other_text_is_an_error_with_its_line)
{
    for (const auto* it :
         {"a 1\n<html>", "a 1\nb", "a 1\nb{x=1} 2", "a 1\nb{x=\"1} 2",
          "a 1\nb{x=\"1\" 2", "a 1\nb 1 2 3", "a 1\nb 1x", "a 1\n{} 1"})
    {
        const auto got = parse_exposition(it);
        BOOST_REQUIRE(!core::ok(got));
        BOOST_TEST(std::get<core::error>(got).message.find("line 2 ") == 0U);
    }
}

BOOST_AUTO_TEST_CASE(arbitrary_text_never_crashes)
{
    BOOST_TEST(
        rc::check([](const std::string& text) { parse_exposition(text); }));
    const auto whole = expose(*make_metrics());
    for (std::size_t n = 0; n < whole.size(); n += 7)
        parse_exposition(std::string_view(whole).substr(n, 200));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
