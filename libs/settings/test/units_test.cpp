#include "godwitbarrow/settings/units.hpp"

#include <boost/test/unit_test.hpp>

#include "rapidcheck.h"

using namespace godwitbarrow::settings;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(a_value_with_a_unit)

// Guards against a value that changes when the merged settings are printed and
// parsed again.
BOOST_AUTO_TEST_CASE(is_unchanged_by_printing_and_parsing)
{
    const auto holds = rc::check(
        []
        {
            const auto n = *rc::gen::inRange<std::int64_t>(0, 1LL << 50);
            const std::chrono::milliseconds ms(n);
            RC_ASSERT(parse_duration(format_duration(ms)) == ms);
            const std::chrono::microseconds us(n);
            RC_ASSERT(parse_short_duration(format_short_duration(us)) == us);
            const auto bytes = static_cast<std::uint64_t>(n);
            RC_ASSERT(parse_size(format_size(bytes)) == bytes);
        });
    BOOST_TEST(holds);
}

// Guards against output in a unit that an operator would not use.
BOOST_AUTO_TEST_CASE(is_printed_in_the_largest_exact_unit)
{
    BOOST_TEST(format_duration(90s) == "90s");
    BOOST_TEST(format_duration(120s) == "2min");
    BOOST_TEST(format_duration(0s) == "0ms");
    BOOST_TEST(format_size(65536) == "64KiB");
    BOOST_TEST(format_number(99.95) == "99.95");
}

// Guards against a host that does not start because the platform states a time
// as a fraction.
BOOST_AUTO_TEST_CASE(may_have_a_decimal_fraction)
{
    BOOST_TEST((parse_duration("1.5s") == 1500ms));
    BOOST_TEST((parse_duration("0.25h") == 15min));
    BOOST_TEST((parse_duration("6.0s") == 6s));
    BOOST_TEST((parse_duration("4000.75ms") == 4000ms));
    BOOST_TEST((parse_duration("0.1234567891234s") == 123ms));
    BOOST_TEST(!parse_duration("99999999999999999999.5s").has_value());
}

// Guards against guessing the unit of a number without a unit or with an
// unknown one.
BOOST_AUTO_TEST_CASE(is_rejected_without_a_unit_or_with_an_unknown_one)
{
    for (const auto* text : {"", "5", "s", "5 s", "-5s", "5m", "1.5", "1.s",
                             ".5s", "1.5.5s", "1.-5s", "1. 5s", "1,5s"})
        BOOST_TEST(!parse_duration(text).has_value(), text);
    BOOST_TEST(!parse_size("64KB").has_value());
    for (const auto* text : {"", "5", "%", "-1%", "inf%", "1e3%"})
        BOOST_TEST(!parse_percent(text).has_value(), text);
}

BOOST_AUTO_TEST_SUITE_END()
