#include "godwitbarrow/settings/change.hpp"

#include <boost/test/unit_test.hpp>

#include "publish_fixture.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::settings;

namespace
{

struct change
{
    struct settings before =
        std::get<struct settings>(parse_settings(test::folder(1)));
    struct settings after = before;

    backend_server& server(const std::string& name)
    {
        return after.backend_servers.at(core::server_id{name});
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_generation_follows_another, change)

// Guards against a check that prevents the replacement of a failed server.
BOOST_AUTO_TEST_CASE(it_may_replace_one_member_of_a_group)
{
    BOOST_TEST(check_change(before, after).empty());
    server("s5").address.port = 99;
    BOOST_TEST(check_change(before, after).empty());
}

// Guards against a majority that has none of the acknowledged writes.
BOOST_AUTO_TEST_CASE(it_may_not_replace_two)
{
    server("s5").address.port = 99;
    auto node = after.backend_servers.extract(core::server_id{"s6"});
    node.key() = core::server_id{"s8"};
    after.backend_servers.insert(std::move(node));
    const auto problems = check_change(before, after);
    BOOST_REQUIRE(problems.size() == 1u);
    BOOST_TEST(to_string(problems[0]).find("2 members of group g") !=
               std::string::npos);
}

// Guards against a check that prevents the removal of a group.
BOOST_AUTO_TEST_CASE(it_may_remove_the_whole_group)
{
    after.groups.clear();
    after.backend_servers.clear();
    BOOST_TEST(check_change(before, after).empty());
}

BOOST_AUTO_TEST_SUITE_END()
