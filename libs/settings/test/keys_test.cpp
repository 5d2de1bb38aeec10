#include "godwitbarrow/settings/keys.hpp"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <sstream>

using namespace godwitbarrow::settings;

BOOST_AUTO_TEST_SUITE(the_key_table)

// Guards against a key that hides another one.
BOOST_AUTO_TEST_CASE(names_each_key_once)
{
    std::set<std::pair<std::string_view, std::string_view>> seen;
    for (const auto& it : all_keys())
        BOOST_TEST(seen.emplace(it.section, it.key).second);
}

// Guards against a page that promises other units, defaults, ranges or
// effects than the program has.
BOOST_AUTO_TEST_CASE(agrees_with_the_settings_page)
{
    std::ifstream in(SOURCE_DIRECTORY "/docs/settings.md");
    std::stringstream page;
    page << in.rdbuf();
    for (const auto& it : all_keys())
    {
        const auto row = documentation_row(it);
        BOOST_TEST_CONTEXT(row)
        BOOST_TEST(page.str().find(row + "\n") != std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
