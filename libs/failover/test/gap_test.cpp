#include "sim/gap.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow::failover;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t first_seed = 20261204;
constexpr std::size_t runs = 20;

void expect_gaps_under(std::chrono::milliseconds store_delay,
                       std::chrono::milliseconds bound)
{
    std::vector<sim::gap_row> rows;
    for (const auto& where : sim::deployments())
        for (const auto fault :
             {sim::primary_fault::killed, sim::primary_fault::silent,
              sim::primary_fault::partitioned})
            rows.push_back(
                sim::measure_row(where, fault, store_delay, runs, first_seed));
    BOOST_TEST_MESSAGE(sim::format_rows(rows, first_seed));
    for (const auto& row : rows)
    {
        BOOST_TEST(row.failed == 0U);
        BOOST_TEST((row.p99 < bound), sim::format_rows({row}, first_seed));
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(the_gap_in_service)

// Guards against time-outs whose sum exceeds the interruption that users
// accept.
BOOST_AUTO_TEST_CASE(is_under_three_seconds_with_the_store_up)
{
    expect_gaps_under(10ms, 3s);
}

// Guards against a second slow call of the store where one is sufficient.
BOOST_AUTO_TEST_CASE(is_under_eleven_seconds_with_a_slow_store)
{
    expect_gaps_under(2000ms, 11s);
}

BOOST_AUTO_TEST_SUITE_END()
