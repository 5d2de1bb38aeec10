#include "godwitbarrow/admission/byte_budget.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow::admission;

BOOST_AUTO_TEST_SUITE(a_budget_of_bytes)

// Guards against a sum that drifts from what is held, and so closes holders
// without need or never.
BOOST_AUTO_TEST_CASE(counts_the_newest_amount_of_each_holder)
{
    byte_budget it;
    it.limit = 10;
    set_held(it, 1, 4);
    set_held(it, 2, 6);
    set_held(it, 1, 3);
    BOOST_TEST(it.held == 9U);
    BOOST_TEST(!take_largest_over_limit(it).has_value());
    set_held(it, 1, 0);
    set_held(it, 1, 0);
    BOOST_TEST(it.held == 6U);
    BOOST_TEST(it.holders.size() == 1U);
}

// Guards against small holders that are closed for the sake of a large one.
BOOST_AUTO_TEST_CASE(takes_the_largest_until_the_rest_fits)
{
    byte_budget it;
    it.limit = 10;
    set_held(it, 1, 2);
    set_held(it, 2, 9);
    set_held(it, 3, 12);
    set_held(it, 4, 7);
    BOOST_TEST(take_largest_over_limit(it).value() == 3U);
    BOOST_TEST(take_largest_over_limit(it).value() == 2U);
    BOOST_TEST(!take_largest_over_limit(it).has_value());
    BOOST_TEST(it.held == 9U);
}

BOOST_AUTO_TEST_SUITE_END()
