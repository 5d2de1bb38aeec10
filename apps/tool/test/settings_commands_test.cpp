#include <boost/test/unit_test.hpp>
#include <sstream>

#include "godwitbarrow/tool/commands.hpp"

using namespace godwitbarrow;

namespace
{

struct run
{
    std::ostringstream result;
    std::ostringstream errors;
    tool::output to{result, errors};
};

const std::string example = SOURCE_DIRECTORY "/examples/consortium";

}  // namespace

BOOST_AUTO_TEST_SUITE(an_operator_checks_a_folder)

// Guards against a script that publishes a folder which was not checked.
BOOST_AUTO_TEST_CASE(a_valid_one_gives_exit_code_0_and_its_digest)
{
    run it;
    BOOST_TEST(tool::check(example, false, it.to) == 0);
    run other;
    BOOST_TEST(tool::digest(example, other.to) == 0);
    const auto digest = other.result.str();
    BOOST_TEST(digest.size() == 41u);
    BOOST_TEST(it.result.str().find(digest) != std::string::npos);
}

// Guards against an effective result without the defaults.
BOOST_AUTO_TEST_CASE(it_is_shown_with_defaults)
{
    run it;
    BOOST_TEST(tool::check(example, true, it.to) == 0);
    BOOST_TEST(it.result.str().find("drain_limit = 30s\n") !=
               std::string::npos);
}

// Guards against success for a folder that does not exist or holds nothing.
BOOST_AUTO_TEST_CASE(a_missing_or_empty_one_gives_exit_code_1_and_the_remedy)
{
    for (const std::string folder :
         {"", "/nonexistent", SOURCE_DIRECTORY "/tools"})
    {
        run it;
        BOOST_TEST(tool::check(folder, true, it.to) == 1);
        BOOST_TEST(it.result.str() == "");
        BOOST_TEST(it.errors.str().find(';') != std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
