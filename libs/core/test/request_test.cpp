#include "godwitbarrow/core/request.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow::core;

BOOST_AUTO_TEST_SUITE(a_request_arrives_as_text)

// Guards against a name that one side writes and the other cannot read.
BOOST_AUTO_TEST_CASE(every_rank_and_access_mode_survives_a_round_trip)
{
    for (const auto it : all_ranks)
        BOOST_TEST((parse_rank(to_string(it)) == it));
    for (int n = 0; n < 6; ++n)
    {
        const auto it = static_cast<access_mode>(n);
        BOOST_TEST((parse_access(to_string(it)) == it));
    }
}

BOOST_AUTO_TEST_CASE(an_unknown_name_is_rejected)
{
    BOOST_TEST(!parse_rank("high"));
    BOOST_TEST(!parse_access(""));
}

BOOST_AUTO_TEST_SUITE(and_may_have_to_be_sent_again)

// Guards against running a Quote twice that may not be repeated.
BOOST_AUTO_TEST_CASE(a_write_is_repeatable_only_with_a_key)
{
    request it;
    it.access = access_mode::write;
    BOOST_TEST(!is_repeatable(it));
    it.key = idempotency_key{"k"};
    BOOST_TEST(is_repeatable(it));
    it.access = access_mode::commit;
    BOOST_TEST(!is_repeatable(it));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
