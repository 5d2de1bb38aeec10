#include "godwitbarrow/relay/flow_control.hpp"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace godwitbarrow::relay;

BOOST_AUTO_TEST_SUITE(the_bytes_on_their_way_to_a_host)

// Guards against sessions with a host of an earlier version that stop.
BOOST_AUTO_TEST_CASE(have_no_bound_until_it_reports)
{
    link_flow it;
    it.sent = 10 * max_bytes_under_way;
    BOOST_TEST(send_budget(it, 0) == std::numeric_limits<std::size_t>::max());
}

BOOST_AUTO_TEST_CASE(are_bounded_once_it_reports)
{
    link_flow it;
    it.acknowledged = 0;
    BOOST_TEST(send_budget(it, 0) == max_bytes_under_way);
    it.sent = 1000;
    BOOST_TEST(send_budget(it, 0) == max_bytes_under_way - 1000);
    it.sent = max_bytes_under_way + 1;
    BOOST_TEST(send_budget(it, 0) == 0U);
    it.acknowledged = 1001;
    BOOST_TEST(send_budget(it, 0) == 1000U);
}

// Guards against a late report that makes the difference negative.
BOOST_AUTO_TEST_CASE(are_none_if_more_was_reported_than_sent)
{
    link_flow it;
    it.sent = 5;
    it.acknowledged = 6;
    BOOST_TEST(send_budget(it, 0) == max_bytes_under_way);
}

// Guards against memory without a bound for a host that takes nothing.
BOOST_AUTO_TEST_CASE(have_no_bound_beyond_the_limit_of_the_queue)
{
    link_flow it;
    it.acknowledged = 0;
    it.sent = max_bytes_under_way;
    BOOST_TEST(send_budget(it, max_queued_bytes) == 0U);
    BOOST_TEST(send_budget(it, max_queued_bytes + 1) > max_queued_bytes);
}

BOOST_AUTO_TEST_CASE(are_reported_at_the_start_and_after_each_interval)
{
    link_flow it;
    BOOST_TEST(is_report_due(it));
    it.reported = 0;
    it.taken = report_interval_bytes - 1;
    BOOST_TEST(!is_report_due(it));
    it.taken = report_interval_bytes;
    BOOST_TEST(is_report_due(it));
}

BOOST_AUTO_TEST_SUITE_END()
