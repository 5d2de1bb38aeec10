#include "godwitbarrow/takeover/row.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace godwitbarrow::takeover;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(takeover_rows)

BOOST_AUTO_TEST_CASE(return_a_claim_as_it_was_written)
{
    claim row;
    row.token = 7;
    row.holder = {"host-1"};
    row.replaced = {"a"};
    row.claimed_at = 12345ms;
    row.replicas_paused = true;
    const auto decoded = decode_claim(encode(row));
    BOOST_REQUIRE(ok(decoded));
    const auto& read = std::get<claim>(decoded);
    BOOST_TEST(read.token == row.token);
    BOOST_TEST(read.holder == row.holder);
    BOOST_TEST(read.replaced == row.replaced);
    BOOST_TEST((read.claimed_at == row.claimed_at));
    BOOST_TEST(read.replicas_paused);
}

BOOST_AUTO_TEST_CASE(return_a_vote_as_it_was_written)
{
    const vote row{{"b"}, 99ms, 1200ms};
    const auto decoded = decode_vote(encode(row));
    BOOST_REQUIRE(ok(decoded));
    const auto& read = std::get<vote>(decoded);
    BOOST_TEST(read.suspect == row.suspect);
    BOOST_TEST((read.unreachable_since == row.unreachable_since));
    BOOST_TEST((read.renewed_at == row.renewed_at));
}

// Guards against fencing tokens that restart after an upgrade because a claim
// row of the earlier version, which has more fields, is not accepted.
BOOST_AUTO_TEST_CASE(accept_a_claim_of_an_earlier_version)
{
    const auto decoded = decode_claim(
        R"({"token":4,"holder":"host-1","replaced":"a","claimed_ms":5,)"
        R"("suspect":"b","votes":{"host-2":99}})");
    BOOST_REQUIRE(ok(decoded));
    BOOST_TEST(std::get<claim>(decoded).token == 4U);
    BOOST_TEST(!std::get<claim>(decoded).replicas_paused);
}

BOOST_AUTO_TEST_CASE(with_invalid_text_are_errors)
{
    for (const auto* text : {"", "{}", "[]", "{\"token\":\"x\"}", "\xff"})
    {
        BOOST_TEST(!ok(decode_claim(text)));
        BOOST_TEST(!ok(decode_vote(text)));
    }
}

// Guards against a row of another writer that ends the process.
BOOST_AUTO_TEST_CASE(with_odd_fields_is_rejected)
{
    const auto claim_with =
        [](const std::string& token, const std::string& time)
    {
        return R"({"holder":"h","replaced":"a","token":)" + token +
               R"(,"claimed_ms":)" + time + "}";
    };
    const std::string nested =
        std::string(100'000, '[') + std::string(100'000, ']');
    BOOST_TEST(ok(decode_claim(claim_with("1", "2"))));
    for (const auto* n : {"1e400", "-1", "18446744073709551616", "\"1\"", "{}"})
    {
        BOOST_TEST(!ok(decode_claim(claim_with(n, "2"))), n);
        BOOST_TEST(!ok(decode_claim(claim_with("1", n))), n);
    }
    BOOST_TEST(!ok(decode_claim(claim_with("1", nested))));
    BOOST_TEST(!ok(decode_claim(nested)));
    BOOST_TEST(!ok(decode_vote(nested)));
    BOOST_TEST(!ok(decode_vote("\xff\xfe")));
}

BOOST_AUTO_TEST_SUITE_END()
