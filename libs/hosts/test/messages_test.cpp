#include "godwitbarrow/hosts/messages.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace std::chrono_literals;

namespace
{

template <class T>
T sent(const T& it)
{
    const auto out = hosts::decode(hosts::encode(it));
    BOOST_REQUIRE(ok(out));
    return std::get<T>(std::get<hosts::message>(out));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_message_between_hosts)

BOOST_AUTO_TEST_CASE(arrives_as_it_was_sent)
{
    const auto beat = sent(hosts::status{{{{"host-2"}, 700ms, true}},
                                         true,
                                         true,
                                         true,
                                         {{"op", 2, 41, 30ms}},
                                         true});
    BOOST_REQUIRE(beat.signs.size() == 1);
    BOOST_TEST(beat.signs[0].host.value == "host-2");
    BOOST_TEST(beat.signs[0].leaving);
    BOOST_TEST((beat.signs[0].age == 700ms));
    BOOST_REQUIRE(beat.tables.size() == 1);
    BOOST_TEST(beat.tables[0].era == 2);
    BOOST_TEST(beat.tables[0].version == 41);
    BOOST_TEST((beat.leaving && beat.reads_store && beat.wants_rows));
    BOOST_TEST(beat.follows);

    const std::string binary("\0\xff", 2);
    const auto rows = sent(hosts::row_update{
        "op", 2, 41, false, 40, 5ms, 9s, {{"k", binary, 41, true}}, 3, true});
    BOOST_REQUIRE(rows.rows.size() == 1);
    BOOST_TEST(rows.rows[0].value == binary);
    BOOST_TEST(rows.rows[0].deleted);
    BOOST_TEST(rows.after == 40);
    BOOST_TEST(rows.part == 3);
    BOOST_TEST((rows.store_time == 9s));

    BOOST_TEST(sent(hosts::row_request{"op"}).name == "op");
    BOOST_TEST(sent(hosts::configuration_notice{7}).version == 7);
    BOOST_TEST(sent(hosts::configuration_request{7}).version == 7);
    BOOST_TEST(sent(hosts::configuration_content{7, "{}"}).text == "{}");
}

// Guards against a crash by the bytes of a faulty or foreign host.
BOOST_AUTO_TEST_CASE(is_refused_if_any_of_it_is_missing)
{
    const auto whole = hosts::encode(hosts::row_update{
        "op", 2, 41, false, 40, 5ms, 9s, {{"k", "value", 41, false}}});
    for (std::size_t n = 0; n < whole.size() - 8; n += 3)
        BOOST_TEST(!ok(hosts::decode(whole.substr(0, n))));
}

// Guards against a link that is closed because a message is too large for it.
BOOST_AUTO_TEST_CASE(is_split_where_its_rows_are_large)
{
    hosts::row_update large;
    large.whole = true;
    for (const auto* key : {"a", "b", "c"})
        large.rows.push_back({key, std::string(600, 'x'), 1, false});
    const auto parts = hosts::split(large, 1000);
    BOOST_REQUIRE(parts.size() == 3);
    BOOST_TEST((parts[0].more && parts[1].more && !parts[2].more));
    BOOST_TEST(parts[2].part == 2);
    BOOST_TEST(parts[2].rows.at(0).key == "c");
    BOOST_TEST(hosts::split({}, 1000).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
