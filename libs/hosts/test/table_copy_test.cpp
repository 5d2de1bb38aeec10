#include "godwitbarrow/hosts/table_copy.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace std::chrono_literals;
using hosts::update_result;

namespace
{

struct copied_table
{
    core::time_point now{1h};
    hosts::table_copy copy;

    update_result take_whole(std::uint64_t era, std::uint64_t version,
                             const std::vector<hosts::table_row>& rows = {})
    {
        return hosts::apply(copy, {"op", era, version, true, 0, 0ms, 0ms, rows},
                            now);
    }

    update_result take_change(std::uint64_t era, std::uint64_t after,
                              std::uint64_t version,
                              const std::vector<hosts::table_row>& rows)
    {
        return hosts::apply(
            copy, {"op", era, version, false, after, 0ms, 0ms, rows}, now);
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_copy_of_a_table)

BOOST_FIXTURE_TEST_SUITE(that_was_read_whole, copied_table)

// Guards against a slow reader that takes a host back to older rows.
BOOST_AUTO_TEST_CASE(takes_only_what_is_newer)
{
    BOOST_TEST((take_whole(1, 10, {{"k", "new", 9, false}}) ==
                update_result::applied));
    BOOST_TEST(
        (take_whole(1, 8, {{"k", "old", 7, false}}) == update_result::older));
    BOOST_TEST((take_change(1, 7, 10, {{"k", "old", 8, false}}) ==
                update_result::older));
    BOOST_TEST(copy.rows.at("k").value == "new");
    BOOST_TEST((take_change(1, 7, 12, {{"k", "", 12, true}}) ==
                update_result::applied));
    BOOST_TEST(copy.rows.empty());
}

// Guards against changes that are missing unnoticed after a link was lost.
BOOST_AUTO_TEST_CASE(notices_missing_changes)
{
    take_whole(1, 10);
    BOOST_TEST((take_change(1, 11, 12, {{"k", "v", 12, false}}) ==
                update_result::gap));
    BOOST_TEST(!hosts::confirm(copy, {"op", 1, 12, 0ms}, now));
}

// Guards against rows of a store that was restored from a copy: it gives the
// same versions out again.
BOOST_AUTO_TEST_CASE(takes_a_later_era_whole_whatever_its_version)
{
    take_whole(1, 10, {{"k", "v", 10, false}});
    BOOST_TEST((take_change(2, 9, 11, {}) == update_result::gap));
    BOOST_TEST((take_whole(2, 6) == update_result::applied));
    BOOST_TEST(copy.rows.empty());
    BOOST_TEST((take_whole(1, 20) == update_result::older));
}

// Guards against a copy that is believed to be as new as the last heartbeat.
BOOST_AUTO_TEST_CASE(is_confirmed_as_of_the_begin_of_a_read)
{
    take_whole(1, 10);
    now += 5s;
    BOOST_TEST(hosts::confirm(copy, {"op", 1, 10, 2s}, now));
    BOOST_TEST((copy.confirmed == now - 2s));
    // Empty updates are not passed on and so not asked for.
    take_change(1, 10, 15, {});
    BOOST_TEST(hosts::position_of(copy, now).version == 10);
}

// Guards against half of a table that is taken for all of it.
BOOST_AUTO_TEST_CASE(waits_for_all_parts_of_an_update)
{
    hosts::row_update all{"op", 1, 10, true, 0, 0ms, 0ms, {}};
    for (const auto* key : {"a", "b", "c"})
        all.rows.push_back({key, "value", 1, false});
    const auto parts = hosts::split(all, 6);
    BOOST_REQUIRE(parts.size() == 3);
    hosts::update_parts in;
    BOOST_TEST(!hosts::join(in, parts[1]));
    BOOST_TEST(!hosts::join(in, parts[0]));
    BOOST_TEST(!hosts::join(in, parts[2]));
    BOOST_TEST(!hosts::join(in, parts[1]));
    const auto joined = hosts::join(in, parts[2]);
    BOOST_REQUIRE(joined);
    BOOST_TEST(joined->rows.size() == 3);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
