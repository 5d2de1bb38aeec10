#include "godwitbarrow/takeover/row.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace godwitbarrow::takeover;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(the_takeover_row)

BOOST_AUTO_TEST_CASE(is_read_as_it_was_written)
{
    row it;
    it.token = 7;
    it.holder = {"host-1"};
    it.replaced = {"a"};
    it.claimed = 12345ms;
    it.suspect = {"b"};
    it.votes[{"host-2"}] = 99ms;
    const auto decoded = decode(encode(it));
    BOOST_REQUIRE(ok(decoded));
    const auto& n = std::get<row>(decoded);
    BOOST_TEST(n.token == it.token);
    BOOST_TEST(n.holder == it.holder);
    BOOST_TEST(n.replaced == it.replaced);
    BOOST_TEST((n.claimed == it.claimed));
    BOOST_TEST(n.suspect == it.suspect);
    BOOST_TEST((n.votes == it.votes));
}

BOOST_AUTO_TEST_CASE(of_another_writer_is_an_error)
{
    for (const auto* text : {"", "{}", "[]", "{\"token\":\"x\"}", "\xff"})
        BOOST_TEST(!ok(decode(text)));
}

BOOST_AUTO_TEST_SUITE_END()
