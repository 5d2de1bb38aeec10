#include "godwitbarrow/hosts/host.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;

BOOST_AUTO_TEST_SUITE(the_row_of_a_host)

BOOST_AUTO_TEST_CASE(tells_where_other_hosts_reach_it)
{
    hosts::peer_host made;
    made.host = {"host-1"};
    made.data_centre = {"north"};
    made.region = {"land"};
    made.address = {"10.1.0.8", 7441};
    made.core_share = 0.12;
    made.leaving = true;
    const auto read = hosts::decode_host("host-1", hosts::encode_host(made));
    BOOST_REQUIRE(ok(read));
    const auto& it = std::get<hosts::peer_host>(read);
    BOOST_TEST(it.host == made.host);
    BOOST_TEST(it.data_centre == made.data_centre);
    BOOST_TEST(it.region == made.region);
    BOOST_TEST((it.address == made.address));
    BOOST_TEST(it.core_share == made.core_share);
    BOOST_TEST(it.leaving);
}

// Guards against hosts that stop following the list because of one row: an
// earlier version wrote the data centre alone, and other writers write
// anything.
BOOST_AUTO_TEST_CASE(is_refused_if_it_names_no_usable_address)
{
    for (const std::string value :
         {"north", "", "[]", "{\"peers\":7}", "{\"peers\":\"10.1.0.8:0\"}",
          "{\"peers\":\"10.1.0.8:70000\"}"})
        BOOST_TEST(!ok(hosts::decode_host("host-1", value)), value);
}

// Guards against a division by a share of zero in the choice of owners.
BOOST_AUTO_TEST_CASE(counts_a_share_that_is_not_above_zero_as_one)
{
    for (const std::string share : {"0", "-1", "\"x\"", "null"})
    {
        const auto read = hosts::decode_host(
            "h", "{\"peers\":\"10.1.0.8:1\",\"core_share\":" + share + "}");
        BOOST_REQUIRE(ok(read));
        BOOST_TEST(std::get<hosts::peer_host>(read).core_share == 1.0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
