#include "godwitbarrow/core/endpoint.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow::core;

BOOST_AUTO_TEST_SUITE(an_operator_writes_an_address)

BOOST_AUTO_TEST_SUITE(that_is_valid)

BOOST_AUTO_TEST_CASE(it_survives_a_round_trip)
{
    for (const auto* text : {"127.0.0.1:7001", "[::1]:80"})
    {
        const auto it = parse_endpoint(text);
        BOOST_REQUIRE(ok(it));
        BOOST_TEST(to_string(std::get<endpoint>(it)) == text);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_is_not_valid)

// Guards against a typing error that is found only when a host connects.
BOOST_AUTO_TEST_CASE(the_error_shows_the_expected_form)
{
    for (const auto* text : {"", "localhost:1", "127.0.0.1", "127.0.0.1:x",
                             "127.0.0.1:70000", "127.0.0.1:80 "})
    {
        const auto it = parse_endpoint(text);
        BOOST_REQUIRE(!ok(it));
        BOOST_TEST(std::get<error>(it).message.find("IP:PORT") !=
                   std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
