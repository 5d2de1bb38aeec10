#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

#include "godwitbarrow/core/error.hpp"

using namespace godwitbarrow;

BOOST_AUTO_TEST_SUITE(an_operator_looks_an_error_up)

// Guards against an error kind that is added without a meaning and a remedy.
BOOST_AUTO_TEST_CASE(the_operations_page_has_a_row_for_every_kind)
{
    std::ifstream in(SOURCE_DIRECTORY "/docs/OPERATIONS.md");
    std::stringstream page;
    page << in.rdbuf();
    for (int n = 0; n <= static_cast<int>(core::error_kind::internal); ++n)
    {
        const std::string kind(
            core::to_string(static_cast<core::error_kind>(n)));
        BOOST_TEST_CONTEXT(kind)
        BOOST_TEST(page.str().find("\n| `" + kind + "` |") !=
                   std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
