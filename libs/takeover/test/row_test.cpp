#include "godwitbarrow/takeover/row.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace godwitbarrow::takeover;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(takeover_rows)

BOOST_AUTO_TEST_CASE(hold_a_claim_as_it_was_written)
{
    claim it;
    it.token = 7;
    it.holder = {"host-1"};
    it.replaced = {"a"};
    it.made = 12345ms;
    const auto decoded = decode_claim(encode(it));
    BOOST_REQUIRE(ok(decoded));
    const auto& n = std::get<claim>(decoded);
    BOOST_TEST(n.token == it.token);
    BOOST_TEST(n.holder == it.holder);
    BOOST_TEST(n.replaced == it.replaced);
    BOOST_TEST((n.made == it.made));
}

BOOST_AUTO_TEST_CASE(hold_a_vote_as_it_was_written)
{
    const vote it{{"b"}, 99ms, 1200ms};
    const auto decoded = decode_vote(encode(it));
    BOOST_REQUIRE(ok(decoded));
    const auto& n = std::get<vote>(decoded);
    BOOST_TEST(n.suspect == it.suspect);
    BOOST_TEST((n.since == it.since));
    BOOST_TEST((n.renewed == it.renewed));
}

// Guards against fencing tokens that start anew after an upgrade.
BOOST_AUTO_TEST_CASE(hold_a_claim_of_an_earlier_version)
{
    const auto decoded = decode_claim(
        R"({"token":4,"holder":"host-1","replaced":"a","claimed_ms":5,)"
        R"("suspect":"b","votes":{"host-2":99}})");
    BOOST_REQUIRE(ok(decoded));
    BOOST_TEST(std::get<claim>(decoded).token == 4U);
}

BOOST_AUTO_TEST_CASE(of_another_writer_are_errors)
{
    for (const auto* text : {"", "{}", "[]", "{\"token\":\"x\"}", "\xff"})
    {
        BOOST_TEST(!ok(decode_claim(text)));
        BOOST_TEST(!ok(decode_vote(text)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
