#include "godwitbarrow/settings/keys.hpp"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <sstream>

using namespace godwitbarrow::settings;

BOOST_AUTO_TEST_SUITE(the_key_table)

// Guards against a duplicate key, which would hide the other entry.
BOOST_AUTO_TEST_CASE(names_each_key_once)
{
    std::set<std::pair<std::string_view, std::string_view>> seen;
    for (const auto& info : all_keys())
        BOOST_TEST(seen.emplace(info.section, info.key).second);
}

// Guards against documented units, defaults, ranges or effects that differ from
// those of the program.
BOOST_AUTO_TEST_CASE(agrees_with_the_settings_page)
{
    std::ifstream in(SOURCE_DIRECTORY "/docs/settings.md");
    std::stringstream page;
    page << in.rdbuf();
    for (const auto& info : all_keys())
    {
        const auto row = documentation_row(info);
        BOOST_TEST_CONTEXT(row)
        BOOST_TEST(page.str().find(row + "\n") != std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
