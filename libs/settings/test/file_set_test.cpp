#include "godwitbarrow/settings/file_set.hpp"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <fstream>

#include "rapidcheck.h"

using namespace godwitbarrow;
using namespace godwitbarrow::settings;

namespace
{

/// A folder that is removed at the end of the test.
struct temporary_folder
{
    temporary_folder()
        : path(std::filesystem::temp_directory_path() /
               ("godwitbarrow-" + std::to_string(getpid())))
    {
        std::filesystem::create_directory(path);
    }
    ~temporary_folder()
    {
        std::filesystem::remove_all(path);
    }
    std::filesystem::path path;
};

void write(const std::filesystem::path& path, const std::string& content)
{
    std::ofstream(path, std::ios::binary) << content;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_folder_is_read)

// Guards against reading temporary files of editors and subfolders as settings.
BOOST_AUTO_TEST_CASE(only_its_regular_ini_files_are_included)
{
    temporary_folder folder;
    write(folder.path / "a.ini", "[limits]\n");
    write(folder.path / "b.ini", "");
    write(folder.path / "a.ini~", "x");
    write(folder.path / ".#a.ini", "x");
    std::filesystem::create_directory(folder.path / "c.ini");
    const auto result = read_folder(folder.path);
    BOOST_REQUIRE(core::ok(result));
    BOOST_TEST((std::get<file_set>(result) ==
                file_set{{"a.ini", "[limits]\n"}, {"b.ini", ""}}));
}

// Guards against treating a missing folder as an empty one.
BOOST_AUTO_TEST_CASE(a_missing_folder_is_an_error)
{
    const auto result = read_folder("/nonexistent/folder");
    BOOST_REQUIRE(!core::ok(result));
    BOOST_TEST(
        (std::get<core::error>(result).kind == core::error_kind::not_found));
}

// Guards against a misplaced large file exhausting the memory of every host.
BOOST_AUTO_TEST_CASE(a_file_above_the_limit_is_an_error)
{
    temporary_folder folder;
    write(folder.path / "a.ini", std::string(max_file_size + 1, ';'));
    const auto result = read_folder(folder.path);
    BOOST_REQUIRE(!core::ok(result));
    BOOST_TEST(std::get<core::error>(result).message.find("split it") !=
               std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_file_set_is_transferred)

// Guards against digests that differ from those of other SHA-1 implementations
// or that do not distinguish names from contents.
BOOST_AUTO_TEST_CASE(its_digest_identifies_names_and_contents)
{
    BOOST_TEST(digest({}) == "da39a3ee5e6b4b0d3255bfef95601890afd80709");
    BOOST_TEST(digest({{"a", "bc"}}) != digest({{"ab", "c"}}));
    BOOST_TEST(digest({{"a", "1:b"}}) != digest({{"a", ""}, {"b", ""}}));
}

// Guards against an object or a delta that alters the settings in transfer.
BOOST_AUTO_TEST_CASE(an_object_and_a_delta_reproduce_the_file_set)
{
    const auto holds = rc::check(
        [](const file_set& older, const file_set& newer)
        {
            const auto decoded = decode_file_set(encode_file_set(newer));
            RC_ASSERT(std::get<file_set>(decoded) == newer);
            const auto delta = make_delta(4, 5, older, newer);
            RC_ASSERT(std::get<file_set>(apply_delta(older, delta)) == newer);
        });
    BOOST_TEST(holds);
}

// Guards against sending a delta of 2.6 MB when one file changes.
BOOST_AUTO_TEST_CASE(a_delta_holds_only_the_changed_files)
{
    const auto delta = make_delta(1, 2, {{"a", "1"}, {"b", "1"}, {"c", "1"}},
                                  {{"a", "1"}, {"b", "2"}, {"d", "1"}});
    BOOST_TEST(delta.changes.size() == 3u);
    BOOST_TEST(!delta.changes.at("c").has_value());
}

// Guards against settings that no operator wrote, which result from applying a
// delta to the wrong file set.
BOOST_AUTO_TEST_CASE(a_delta_is_rejected_for_another_file_set)
{
    auto delta = make_delta(1, 2, {{"a", "1"}}, {{"a", "2"}});
    const auto wrong = apply_delta({{"a", "0"}}, delta);
    BOOST_TEST(
        (std::get<core::error>(wrong).kind == core::error_kind::conflict));
    delta.changes["a"] = "3";
    const auto mismatch = apply_delta({{"a", "1"}}, delta);
    BOOST_TEST((std::get<core::error>(mismatch).kind ==
                core::error_kind::protocol_error));
}

// Guards against a crash on a malformed object.
BOOST_AUTO_TEST_CASE(a_malformed_object_is_an_error)
{
    for (const auto* text :
         {"x", "1:a", "1:a9:b", "1a", "99999999999999999999"})
        BOOST_TEST(!core::ok(decode_file_set(text)));
}

BOOST_AUTO_TEST_SUITE_END()
