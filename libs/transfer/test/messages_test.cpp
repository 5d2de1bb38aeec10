#include "godwitbarrow/transfer/messages.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;

namespace
{

template <class Message>
Message recode(const Message& it)
{
    const auto got = transfer::decode(transfer::encode(it));
    BOOST_REQUIRE(ok(got));
    const auto* out = std::get_if<Message>(&std::get<transfer::message>(got));
    BOOST_REQUIRE(out);
    return *out;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(messages_about_transfers)

BOOST_AUTO_TEST_SUITE(come_out_as_they_went_in)

// Guards against a revision that is taken for an older one after its encoding.
BOOST_AUTO_TEST_CASE(as_a_notice_does)
{
    const auto it = recode(transfer::notice{"rows", {3, ~std::uint64_t{0}}});
    BOOST_TEST(it.name == "rows");
    BOOST_TEST((it.at == transfer::revision{3, ~std::uint64_t{0}}));
}

// Guards against a transfer that continues at another place.
BOOST_AUTO_TEST_CASE(as_a_request_does)
{
    const auto it = recode(transfer::request{"rows", {3, 7}, 32768});
    BOOST_TEST(it.name == "rows");
    BOOST_TEST((it.at == transfer::revision{3, 7}));
    BOOST_TEST(it.offset == 32768U);
}

// Guards against bytes that are cut off at a zero.
BOOST_AUTO_TEST_CASE(as_a_chunk_does)
{
    const std::string bytes("a\0b\xff", 4);
    const auto it = recode(transfer::chunk{"rows", {3, 7}, 90, 5, bytes});
    BOOST_TEST(it.name == "rows");
    BOOST_TEST((it.at == transfer::revision{3, 7}));
    BOOST_TEST(it.size == 90U);
    BOOST_TEST(it.offset == 5U);
    BOOST_TEST(it.bytes == bytes);
}

// Guards against an empty content that no host can fetch.
BOOST_AUTO_TEST_CASE(as_a_chunk_without_bytes_does)
{
    BOOST_TEST(recode(transfer::chunk{"rows", {3, 7}, 0, 0, {}}).bytes == "");
}

// Guards against an answer that is taken for one of another kind.
BOOST_AUTO_TEST_CASE(as_short_ones_do)
{
    BOOST_TEST(recode(transfer::queued{"rows"}).name == "rows");
    BOOST_TEST(recode(transfer::finished{"rows"}).name == "rows");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a damaged message that ends the process.
BOOST_AUTO_TEST_CASE(are_refused_if_they_are_cut_off)
{
    const auto bytes =
        transfer::encode(transfer::chunk{"rows", {3, 7}, 90, 5, "abcdefgh"});
    // The last bytes may be padding.
    for (std::size_t n = 0; n + sizeof(std::uint64_t) < bytes.size(); ++n)
        BOOST_TEST(!ok(transfer::decode(bytes.substr(0, n))));
}

BOOST_AUTO_TEST_SUITE_END()
