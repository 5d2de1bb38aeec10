#include "godwitbarrow/session/freshness.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace godwitbarrow::session;
using namespace std::chrono_literals;

namespace
{

struct samples
{
    core::time_point start{100s};
    primary_history history;

    samples()
    {
        add_sample(history, {start, {2, 10}});
        add_sample(history, {start + 1s, {2, 20}});
    }

    std::optional<core::time_point> replica(core::member_status it,
                                            core::duration asked) const
    {
        return replica_fresh_as_of(history, it, start + asked, 2);
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(the_primary_reported_its_position_twice)

BOOST_FIXTURE_TEST_CASE(a_replica_is_fresh_as_of_the_newest_it_holds, samples)
{
    BOOST_TEST((replica({2, 2, 15}, 3s) == start));
    BOOST_TEST((replica({2, 2, 20}, 3s) == start + 1s));
    BOOST_TEST(!replica({2, 2, 9}, 3s).has_value());
}

// Guards against a status from before the sample, which proves nothing about
// the term after it.
BOOST_FIXTURE_TEST_CASE(a_status_asked_for_earlier_does_not_count, samples)
{
    BOOST_TEST((replica({2, 2, 20}, 999ms) == start));
    BOOST_TEST(!replica({2, 2, 20}, -1ms).has_value());
}

// Guards against a replica that accepted a newer term or holds an older log.
BOOST_FIXTURE_TEST_CASE(another_term_proves_nothing, samples)
{
    BOOST_TEST(!replica({3, 2, 20}, 3s).has_value());
    BOOST_TEST(!replica({2, 1, 20}, 3s).has_value());
}

// Guards against a partitioned primary that believes it is up to date.
BOOST_FIXTURE_TEST_CASE(the_primary_needs_a_witness_in_its_term, samples)
{
    const auto proven = [&](core::member_status it, core::duration asked)
    {
        return primary_fresh_as_of(history, it, start + asked, 2);
    };
    BOOST_TEST((proven({2, 1, 0}, 500ms) == start));
    BOOST_TEST((proven({2, 2, 5}, 1s) == start + 1s));
    BOOST_TEST(!proven({3, 2, 20}, 2s).has_value());
}

BOOST_FIXTURE_TEST_CASE(a_new_term_discards_them, samples)
{
    add_sample(history, {start + 2s, {3, 5}});
    BOOST_TEST(history.samples.size() == 1U);
    add_sample(history, {start + 3s, {2, 30}});
    BOOST_TEST(history.samples.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(they_are_bounded, samples)
{
    for (int n = 0; n < 200; ++n)
        add_sample(history, {start + 2s + n * 1s, {2, 30}});
    BOOST_TEST(history.samples.size() == max_primary_samples);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_read_states_an_age)

BOOST_AUTO_TEST_CASE(data_at_the_bound_is_accepted_and_older_is_not)
{
    const core::time_point now{100s};
    BOOST_TEST(within_age(now - 50ms, 50ms, now));
    BOOST_TEST(!within_age(now - 51ms, 50ms, now));
    BOOST_TEST(within_age(std::nullopt, std::nullopt, now));
}

// Guards against an unknown age that passes for a young one.
BOOST_AUTO_TEST_CASE(an_unknown_age_is_too_old)
{
    BOOST_TEST(!within_age(std::nullopt, 1h, core::time_point{100s}));
}

BOOST_AUTO_TEST_SUITE_END()
