#include "godwitbarrow/session/reached.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow::core;
using godwitbarrow::session::has_reached;

namespace
{

constexpr term_number current = 3;

member_status in_log(term_number log_term, log_number position)
{
    return {current, log_term, position};
}

bool replica_reached(log_position seen, member_status it)
{
    return has_reached(seen, it, member_role::replica, current);
}

bool primary_reached(log_position seen, member_status it)
{
    return has_reached(seen, it, member_role::primary, current);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_session_has_seen_a_position)

BOOST_AUTO_TEST_SUITE(and_asks_a_replica)

BOOST_AUTO_TEST_CASE(one_that_holds_the_position_serves_it)
{
    BOOST_TEST(replica_reached({3, 7}, in_log(3, 7)));
    BOOST_TEST(replica_reached({2, 7}, in_log(3, 9)));
}

BOOST_AUTO_TEST_CASE(one_that_is_behind_does_not)
{
    BOOST_TEST(!replica_reached({3, 8}, in_log(3, 7)));
}

// Guards against positions that a promotion has truncated.
BOOST_AUTO_TEST_CASE(a_log_of_an_old_term_never_counts)
{
    BOOST_TEST(!replica_reached({2, 7}, in_log(2, 9)));
    BOOST_TEST(!has_reached(std::nullopt, in_log(2, 9), member_role::replica,
                            current));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_asks_the_primary)

BOOST_AUTO_TEST_CASE(its_own_and_older_terms_are_reached)
{
    BOOST_TEST(primary_reached({3, 99}, in_log(3, 1)));
    BOOST_TEST(primary_reached({2, 99}, in_log(3, 1)));
}

// Guards against a host that has not heard of the newest term.
BOOST_AUTO_TEST_CASE(a_newer_term_is_not)
{
    BOOST_TEST(!primary_reached({4, 1}, in_log(3, 9)));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
