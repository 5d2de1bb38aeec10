#include "godwitbarrow/owners/owners.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>

using namespace godwitbarrow;
using owners::choose_owners;

namespace
{

hosts::peer_host make_host(const std::string& name, const std::string& region,
                           double core_share = 1)
{
    hosts::peer_host out;
    out.host = {name};
    out.region = {region};
    out.core_share = core_share;
    return out;
}

/// Hosts in three regions, one after the other.
std::vector<hosts::peer_host> make_hosts(std::size_t count)
{
    static const std::vector<std::string> regions{"east", "north", "west"};
    std::vector<hosts::peer_host> out;
    for (std::size_t n = 0; n < count; ++n)
        out.push_back(make_host("host-" + std::to_string(n), regions[n % 3]));
    return out;
}

std::set<std::string> names_of(const owners::ownership& it)
{
    std::set<std::string> out;
    for (const auto& owner : it.owners)
        out.insert(owner.host.value);
    return out;
}

std::map<std::string, std::size_t> count_by_region(const owners::ownership& it)
{
    std::map<std::string, std::size_t> out;
    for (const auto& owner : it.owners)
        ++out[owner.region.value];
    return out;
}

const core::group_id group{"quotes"};

core::group_id numbered_group(std::size_t n)
{
    return {"group-" + std::to_string(n)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(the_owners_of_a_group)

BOOST_AUTO_TEST_SUITE(are_all_hosts)

// Guards against a small deployment that relays sessions for no gain.
BOOST_AUTO_TEST_CASE(if_each_gets_a_connection_for_each_slot)
{
    BOOST_TEST(choose_owners(group, {16, 2}, make_hosts(4)).all_hosts);
    BOOST_TEST(choose_owners(group, {16, 2}, make_hosts(8)).all_hosts);
    BOOST_TEST(!choose_owners(group, {16, 2}, make_hosts(9)).all_hosts);
}

BOOST_AUTO_TEST_CASE(if_every_host_is_leaving)
{
    auto live = make_hosts(59);
    for (auto& it : live)
        it.leaving = true;
    BOOST_TEST(choose_owners(group, {46, 5}, live).all_hosts);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(are_a_few_in_each_region)

BOOST_AUTO_TEST_CASE(with_enough_connections_for_each)
{
    const auto of_59 = choose_owners(group, {46, 5}, make_hosts(59));
    const auto of_33 = choose_owners(group, {78, 5}, make_hosts(33));
    const auto of_118 = choose_owners(group, {88, 4}, make_hosts(118));
    BOOST_TEST(of_59.owners.size() == 3U);
    BOOST_TEST(of_33.owners.size() == 6U);
    BOOST_TEST(of_118.owners.size() == 9U);
    for (const auto& [region, n] : count_by_region(of_33))
        BOOST_TEST(n == 2U, region);
}

// Guards against a group that is without service, and without a majority about
// its primary, while one host is away.
BOOST_AUTO_TEST_CASE(never_fewer_than_three_if_there_are_hosts)
{
    auto live = make_hosts(12);
    for (auto& it : live)
        it.region = {"land"};
    BOOST_TEST(choose_owners(group, {4, 8}, live).owners.size() == 3U);
    live[0].core_share = 9;
    BOOST_TEST(choose_owners(group, {4, 8}, live).owners.size() == 3U);
}

BOOST_AUTO_TEST_CASE(without_those_that_are_leaving)
{
    auto live = make_hosts(59);
    const auto before = choose_owners(group, {46, 5}, live);
    for (auto& it : live)
        it.leaving = it.host == before.owners[0].host;
    const auto after = choose_owners(group, {46, 5}, live);
    BOOST_TEST(after.owners.size() == 3U);
    BOOST_TEST(!owners::is_owner(after, before.owners[0].host));
}

BOOST_AUTO_TEST_CASE(by_the_share_of_a_core)
{
    std::size_t strong = 0;
    std::size_t weak = 0;
    for (std::size_t n = 0; n < 1200; ++n)
    {
        const auto it =
            choose_owners(numbered_group(n), {3, 2},
                          {make_host("a", "x", 1), make_host("b", "x", 0.6),
                           make_host("c", "x", 0.1), make_host("d", "y"),
                           make_host("e", "z")});
        strong += names_of(it).count("a");
        weak += names_of(it).count("c");
    }
    BOOST_TEST(strong > 650U);
    BOOST_TEST(strong < 850U);
    BOOST_TEST(weak == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(stay_the_same)

BOOST_AUTO_TEST_CASE(in_any_order_of_the_hosts)
{
    auto live = make_hosts(59);
    const auto before = choose_owners(group, {46, 5}, live);
    std::reverse(live.begin(), live.end());
    BOOST_TEST((choose_owners(group, {46, 5}, live) == before));
}

// Guards against sessions of all groups that move when one host comes or goes.
BOOST_AUTO_TEST_CASE(except_for_the_part_of_a_host_that_joins_or_leaves)
{
    auto live = make_hosts(59);
    auto fewer = live;
    fewer.pop_back();
    const auto& last = live.back().host.value;
    for (std::size_t n = 0; n < 300; ++n)
    {
        const auto with =
            names_of(choose_owners(numbered_group(n), {46, 5}, live));
        const auto without =
            names_of(choose_owners(numbered_group(n), {46, 5}, fewer));
        if (with.count(last) == 0)
            BOOST_TEST((with == without));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(are_tried)

BOOST_AUTO_TEST_CASE(in_the_region_of_the_entry_host_first)
{
    const auto of = choose_owners(group, {78, 5}, make_hosts(33));
    std::set<std::string> first;
    for (std::size_t n = 0; n < 20; ++n)
    {
        const auto order = owners::preferred_owners(
            of, make_host("entry-" + std::to_string(n), "north"));
        BOOST_REQUIRE(order.size() == 6U);
        first.insert(order[0].value);
        for (const auto& owner : of.owners)
            if (owner.host == order[0] || owner.host == order[1])
                BOOST_TEST(owner.region.value == "north");
    }
    // Both owners of the region take their part.
    BOOST_TEST(first.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
