#include "godwitbarrow/session/reached.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow::core;
using godwitbarrow::session::has_reached;

namespace
{

constexpr term_number current_term = 3;

member_status status_of_log(term_number log_term, log_number position)
{
    return {current_term, log_term, position};
}

bool replica_reached(log_position seen, member_status status)
{
    return has_reached(seen, status, member_role::replica, current_term);
}

bool primary_reached(log_position seen, member_status status)
{
    return has_reached(seen, status, member_role::primary, current_term);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_session_has_seen_a_position)

BOOST_AUTO_TEST_SUITE(and_asks_a_replica)

BOOST_AUTO_TEST_CASE(a_replica_that_holds_the_position_has_reached_it)
{
    BOOST_TEST(replica_reached({3, 7}, status_of_log(3, 7)));
    BOOST_TEST(replica_reached({2, 7}, status_of_log(3, 9)));
}

BOOST_AUTO_TEST_CASE(a_replica_that_is_behind_has_not)
{
    BOOST_TEST(!replica_reached({3, 8}, status_of_log(3, 7)));
}

// Guards against counting positions that a promotion has truncated.
BOOST_AUTO_TEST_CASE(a_replica_with_a_log_of_an_old_term_has_not)
{
    BOOST_TEST(!replica_reached({2, 7}, status_of_log(2, 9)));
    BOOST_TEST(!has_reached(std::nullopt, status_of_log(2, 9),
                            member_role::replica, current_term));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_asks_the_primary)

BOOST_AUTO_TEST_CASE(positions_of_its_own_and_older_terms_are_reached)
{
    BOOST_TEST(primary_reached({3, 99}, status_of_log(3, 1)));
    BOOST_TEST(primary_reached({2, 99}, status_of_log(3, 1)));
}

// Guards against a host that does not know the newest term yet.
BOOST_AUTO_TEST_CASE(a_position_of_a_newer_term_is_not)
{
    BOOST_TEST(!primary_reached({4, 1}, status_of_log(3, 9)));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
