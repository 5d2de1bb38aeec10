#include "godwitbarrow/tool/fleet_history.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace std::chrono_literals;

namespace
{

tool::host_sample counted(const std::string& host, std::uint64_t total,
                          std::uint64_t good)
{
    telemetry::sample it;
    it.by_rank[0] = {total, good};
    return {host, it};
}

tool::host_sample silent(const std::string& host)
{
    return {host, std::nullopt};
}

constexpr core::time_point start{1h};

}  // namespace

BOOST_AUTO_TEST_SUITE(several_hosts_are_read_in_rounds)

// Guards against the life of each process being reported as the last seconds.
BOOST_AUTO_TEST_CASE(the_first_sample_of_a_host_counts_nothing)
{
    tool::fleet_history it;
    add_round(it, {counted("a", 100, 90), silent("b")}, start);
    add_round(it, {counted("a", 110, 95), counted("b", 70, 70)}, start + 10s);
    BOOST_TEST(it.sum.by_rank[0].total == 10u);
    BOOST_TEST(it.sum.by_rank[0].good == 5u);
}

// Guards against lost requests when a host misses one round.
BOOST_AUTO_TEST_CASE(a_silent_host_is_caught_up_with_later)
{
    tool::fleet_history it;
    add_round(it, {counted("a", 1, 1)}, start);
    add_round(it, {silent("a")}, start + 10s);
    add_round(it, {counted("a", 5, 3)}, start + 20s);
    BOOST_TEST(it.sum.by_rank[0].total == 4u);
}

// Guards against the restart of one host that makes the sum of all go down,
// or that hides behind the growth of the others.
BOOST_AUTO_TEST_CASE(a_restarted_host_counts_from_zero)
{
    tool::fleet_history it;
    add_round(it, {counted("a", 1000, 1000), counted("b", 50, 50)}, start);
    add_round(it, {counted("a", 4, 3), counted("b", 60, 60)}, start + 10s);
    BOOST_TEST(it.sum.by_rank[0].total == 14u);
    BOOST_TEST(it.sum.by_rank[0].good == 13u);
}

BOOST_AUTO_TEST_SUITE_END()
