#include "godwitbarrow/relay/messages.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using relay::item_kind;

BOOST_AUTO_TEST_SUITE(messages_about_relayed_sessions)

BOOST_AUTO_TEST_CASE(come_out_as_they_went_in)
{
    relay::batch made;
    made.configuration = 17;
    made.taken = 0;
    made.items.push_back(
        {item_kind::line, 4, std::string("READ 1\0x", 8), true, false});
    made.items.push_back({item_kind::answer, 5, "READY I -\r\n", false, true});
    made.items.push_back(relay::make_item(item_kind::draining));
    const auto got = relay::decode(relay::encode(made));
    BOOST_REQUIRE(ok(got));
    const auto& it = std::get<relay::batch>(got);
    BOOST_TEST(it.configuration == 17U);
    BOOST_TEST((it.taken == std::optional<std::uint64_t>(0)));
    BOOST_REQUIRE(it.items.size() == 3U);
    BOOST_TEST((it.items[0].kind == item_kind::line));
    BOOST_TEST(it.items[0].session == 4U);
    BOOST_TEST(it.items[0].bytes == made.items[0].bytes);
    BOOST_TEST(it.items[0].more);
    BOOST_TEST(it.items[1].idle);
    BOOST_TEST((it.items[2].kind == item_kind::draining));
}

// Guards against a host of an earlier version that is taken for one that
// reports what it has taken: nothing would be sent to it any more.
BOOST_AUTO_TEST_CASE(may_lack_a_report)
{
    const auto got = relay::decode(relay::encode({}));
    BOOST_REQUIRE(ok(got));
    BOOST_TEST(!std::get<relay::batch>(got).taken);
    BOOST_TEST(std::get<relay::batch>(got).items.empty());
}

// Guards against a damaged message that ends the process.
BOOST_AUTO_TEST_CASE(are_refused_if_they_are_damaged)
{
    relay::batch made;
    made.items.push_back({item_kind::line, 4, "READ 1", false, false});
    const auto bytes = relay::encode(made);
    BOOST_TEST(!ok(relay::decode("")));
    // The last bytes may be padding.
    for (std::size_t n = 0; n + sizeof(std::uint64_t) < bytes.size(); ++n)
        BOOST_TEST(!ok(relay::decode(bytes.substr(0, n))));
    made.items[0].kind = static_cast<item_kind>(99);
    BOOST_TEST(!ok(relay::decode(relay::encode(made))));
}

// Guards against a message beyond the limit of a frame, which closes the link
// of all sessions between two hosts.
BOOST_AUTO_TEST_CASE(are_split_to_fit_frames)
{
    const std::string text(1'000'000, 'x');
    const auto parts = relay::split({item_kind::answer, 9, text, false, true});
    std::string joined;
    for (const auto& it : parts)
    {
        joined += it.bytes;
        BOOST_TEST(it.bytes.size() <= relay::max_item_bytes);
        BOOST_TEST(it.more == (joined.size() < text.size()));
    }
    BOOST_TEST((joined == text));
    for (const auto& it : relay::make_batches(1, parts))
        BOOST_TEST(relay::encode(it).size() <= relay::max_batch_bytes);
}

BOOST_AUTO_TEST_SUITE_END()
