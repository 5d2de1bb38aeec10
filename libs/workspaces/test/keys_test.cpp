#include <boost/test/unit_test.hpp>

#include "godwitbarrow/workspaces/directory.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::workspaces;

namespace
{

directory two_workspaces()
{
    directory it;
    it.required = true;
    it.keys.emplace(hash_key("k-1"), core::workspace_id{"clinics"});
    it.keys.emplace(hash_key("k-2"), core::workspace_id{"cities"});
    return it;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_key)

BOOST_AUTO_TEST_CASE(names_the_workspace_that_holds_it)
{
    const auto all = two_workspaces();
    BOOST_TEST(find_workspace(all, hash_key("k-1"), false)->value == "clinics");
    BOOST_TEST(find_workspace(all, hash_key("k-2"), true)->value == "cities");
}

// Guards against callers that are admitted without a valid key.
BOOST_AUTO_TEST_CASE(that_is_unknown_is_refused_unless_the_route_is_open)
{
    const auto all = two_workspaces();
    for (const auto* key : {"k-3", "", "k-1 ", "K-1"})
    {
        BOOST_TEST(!find_workspace(all, hash_key(key), false));
        BOOST_TEST(find_workspace(all, hash_key(key), true)->value.empty());
    }
    BOOST_TEST(!find_workspace(all, std::nullopt, false));
}

// The last workspace may be removed. Guards against a deployment that then
// admits everybody.
BOOST_AUTO_TEST_CASE(is_needed_although_no_workspace_is_left)
{
    directory empty;
    BOOST_TEST(find_workspace(empty, std::nullopt, false)->value.empty());
    empty.required = true;
    BOOST_TEST(!find_workspace(empty, std::nullopt, false));
}

BOOST_AUTO_TEST_SUITE_END()
