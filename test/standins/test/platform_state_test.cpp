#include "godwitbarrow/standins/platform_state.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace godwitbarrow::standins;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(rows_are_written)

BOOST_AUTO_TEST_SUITE(by_several_conditional_puts)

// Guards against a store that lets two claims of one term succeed.
BOOST_AUTO_TEST_CASE(all_take_effect_or_none)
{
    platform_state it;
    const std::vector<std::uint64_t> first{1, 1};
    BOOST_TEST(*write_rows(it, {{"t", "a", "1", 0}, {"t", "b", "1", 0}}) ==
               first);
    BOOST_TEST(!write_rows(it, {{"t", "a", "2", 1}, {"t", "b", "2", 0}}));
    BOOST_TEST(find_row(it, "t", "a")->value == "1");
    BOOST_TEST(write_rows(it, {{"t", "a", "2", 1}})->front() == 2);
    BOOST_TEST(!find_row(it, "t", "c").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_host_list_lags)

// Guards against tests in which the list is better than the real one.
BOOST_AUTO_TEST_CASE(a_change_is_shown_after_the_lag)
{
    using store::host_kind;
    using store::host_state;
    platform_state it;
    set_hosts(it, {{"h", host_kind::host, host_state::live}}, {});
    const auto t = core::time_point(1s);
    set_hosts(it, {{"h", host_kind::host, host_state::leaving}}, t);
    const auto state_at = [&](core::time_point now)
    {
        return shown_hosts(it, 500ms, now).entries.front().state;
    };
    BOOST_TEST((state_at(t + 499ms) == host_state::live));
    BOOST_TEST((state_at(t + 500ms) == host_state::leaving));
}

BOOST_AUTO_TEST_SUITE_END()
