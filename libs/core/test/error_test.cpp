#include "godwitbarrow/core/error.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow::core;

BOOST_AUTO_TEST_SUITE(an_error_crosses_a_process_boundary)

// Guards against a kind without a name, which would reach the caller as an
// internal error.
BOOST_AUTO_TEST_CASE(every_kind_survives_a_round_trip)
{
    for (int n = 0; n <= static_cast<int>(error_kind::internal); ++n)
    {
        const auto it = static_cast<error_kind>(n);
        BOOST_TEST((parse_error_kind(to_string(it)) == it));
    }
}

BOOST_AUTO_TEST_CASE(a_kind_of_a_newer_version_is_read_as_internal)
{
    BOOST_TEST((parse_error_kind("from_the_future") == error_kind::internal));
}

BOOST_AUTO_TEST_SUITE_END()
