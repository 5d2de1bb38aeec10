#include "godwitbarrow/settings/row.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace godwitbarrow::settings;

namespace
{

/// The row after generations 1 to n, whose digests are "d1" to "dn".
settings_row row_of(generation_number n)
{
    settings_row row;
    for (generation_number g = 1; g <= n; ++g)
        row = next_row(row, "d" + std::to_string(g), core::host_id{"h"},
                       core::attempt_id{"h/1/" + std::to_string(g)});
    return row;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(the_settings_row)

// Guards against a format change that older processes cannot read.
BOOST_AUTO_TEST_CASE(has_a_stable_text_form)
{
    const std::string text =
        "generation 2\npublisher h\nattempt h/1/2\ndigests d1 d2\n";
    BOOST_TEST(encode_row(row_of(2)) == text);
    const auto decoded = decode_row(text + "added_later 1\n");
    BOOST_TEST(encode_row(std::get<settings_row>(decoded)) == text);
}

// Guards against reading a value that is not a settings row as a generation.
BOOST_AUTO_TEST_CASE(is_rejected_when_malformed)
{
    for (const auto* text :
         {"", "generation 0\nattempt a\ndigests d\n", "generation\n",
          "generation 1\nattempt a\ndigests\n",
          "generation x\nattempt a\ndigests d\n",
          "generation 1\nattempt a\ndigests d e\n"})
        BOOST_TEST(!core::ok(decode_row(text)));
}

BOOST_AUTO_TEST_SUITE(keeps_the_last_generations)

// Guards against a stale folder that is not detected, and against a row of
// unbounded size.
BOOST_AUTO_TEST_CASE(and_drops_older_ones)
{
    const auto row = row_of(max_row_digests + 6);
    BOOST_TEST(row.digests.size() == max_row_digests);
    BOOST_TEST(digest_of(row, 7).value_or("") == "d7");
    BOOST_TEST(!digest_of(row, 6));
    BOOST_TEST(!digest_of(row, 71));
    BOOST_TEST(is_older_digest(row, "d7"));
    BOOST_TEST(!is_older_digest(row, "d70"));
    BOOST_TEST(current_digest(row) == "d70");
    BOOST_TEST(!has_complete_history(row));
    BOOST_TEST(has_complete_history(row_of(max_row_digests)));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
