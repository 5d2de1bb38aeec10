#include "godwitbarrow/session/freshness.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace godwitbarrow::session;
using namespace std::chrono_literals;

namespace
{

struct history_fixture
{
    core::time_point start{100s};
    primary_history history;

    history_fixture()
    {
        add_sample(history, {start, {2, 10}});
        add_sample(history, {start + 1s, {2, 20}});
    }

    std::optional<core::time_point> replica_fresh(
        core::member_status status, core::duration request_offset) const
    {
        return replica_fresh_as_of(history, status, start + request_offset, 2);
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(the_primary_reported_its_position_twice)

BOOST_FIXTURE_TEST_CASE(
    a_replica_is_fresh_as_of_the_newest_sample_it_has_reached, history_fixture)
{
    BOOST_TEST((replica_fresh({2, 2, 15}, 3s) == start));
    BOOST_TEST((replica_fresh({2, 2, 20}, 3s) == start + 1s));
    BOOST_TEST(!replica_fresh({2, 2, 9}, 3s).has_value());
}

// Guards against using a status that was requested before the sample, which
// proves nothing about the term after it.
BOOST_FIXTURE_TEST_CASE(a_sample_sent_after_the_status_request_is_not_used,
                        history_fixture)
{
    BOOST_TEST((replica_fresh({2, 2, 20}, 999ms) == start));
    BOOST_TEST(!replica_fresh({2, 2, 20}, -1ms).has_value());
}

// Guards against trusting a replica that has accepted a newer term or whose log
// is of an older term.
BOOST_FIXTURE_TEST_CASE(a_replica_of_another_term_has_unknown_freshness,
                        history_fixture)
{
    BOOST_TEST(!replica_fresh({3, 2, 20}, 3s).has_value());
    BOOST_TEST(!replica_fresh({2, 1, 20}, 3s).has_value());
}

// Guards against a partitioned primary being taken for up to date.
BOOST_FIXTURE_TEST_CASE(the_primary_needs_the_status_of_a_member_in_its_term,
                        history_fixture)
{
    const auto primary_fresh =
        [&](core::member_status status, core::duration request_offset)
    {
        return primary_fresh_as_of(history, status, start + request_offset, 2);
    };
    BOOST_TEST((primary_fresh({2, 1, 0}, 500ms) == start));
    BOOST_TEST((primary_fresh({2, 2, 5}, 1s) == start + 1s));
    BOOST_TEST(!primary_fresh({3, 2, 20}, 2s).has_value());
}

BOOST_FIXTURE_TEST_CASE(a_new_term_discards_the_samples, history_fixture)
{
    add_sample(history, {start + 2s, {3, 5}});
    BOOST_TEST(history.samples.size() == 1U);
    add_sample(history, {start + 3s, {2, 30}});
    BOOST_TEST(history.samples.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(the_number_of_samples_is_bounded, history_fixture)
{
    for (int n = 0; n < 200; ++n)
        add_sample(history, {start + 2s + n * 1s, {2, 30}});
    BOOST_TEST(history.samples.size() == max_primary_samples);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_read_states_a_maximum_age)

BOOST_AUTO_TEST_CASE(data_at_the_bound_is_accepted_and_older_data_is_not)
{
    const core::time_point now{100s};
    BOOST_TEST(within_age(now - 50ms, 50ms, now));
    BOOST_TEST(!within_age(now - 51ms, 50ms, now));
    BOOST_TEST(within_age(std::nullopt, std::nullopt, now));
}

// Guards against an unknown age being accepted as recent.
BOOST_AUTO_TEST_CASE(an_unknown_age_is_too_old)
{
    BOOST_TEST(!within_age(std::nullopt, 1h, core::time_point{100s}));
}

BOOST_AUTO_TEST_SUITE_END()
