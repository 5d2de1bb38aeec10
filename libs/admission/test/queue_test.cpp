#include "godwitbarrow/admission/queue.hpp"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace godwitbarrow;
using namespace godwitbarrow::admission;
using namespace std::chrono_literals;
using core::rank;

namespace
{

/// A server with two slots whose statements take 10 ms.
struct server_queue
{
    queue_state state;
    queue_settings settings;
    core::time_point now{100s};
    int next = 0;

    server_queue()
    {
        state.slots = 2;
        state.service_time = 10ms;
    }

    std::optional<core::duration> arrive(rank it, core::duration patience = 1s)
    {
        const auto id = core::request_id{std::to_string(next++)};
        return enqueue(state, settings,
                       {id, it, connection_need::shared, now, now + patience},
                       now);
    }

    std::optional<queue_entry> take()
    {
        return dequeue_next(state, settings,
                            [](const queue_entry&) { return true; });
    }

    rank take_one()
    {
        const auto it = take();
        BOOST_REQUIRE(it);
        return it->importance;
    }

    /// Dispatches with all ranks of `flood` always waiting.
    std::array<int, core::rank_count> serve(int dispatches,
                                            const std::vector<rank>& flood)
    {
        std::array<int, core::rank_count> served{};
        for (int n = 0; n < dispatches; ++n)
        {
            for (const auto it : flood)
                while (state.waiting[core::index_of(it)].size() < 3)
                    enqueue_unchecked(state, {{std::to_string(next++)},
                                              it,
                                              connection_need::shared,
                                              now,
                                              now + 1s});
            const auto it = take_one();
            ++served[core::index_of(it)];
            release_slot(state, it, std::nullopt);
        }
        return served;
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(requests_wait_for_slots)

BOOST_FIXTURE_TEST_CASE(no_more_than_the_slots_run, server_queue)
{
    for (int n = 0; n < 3; ++n)
        BOOST_TEST(!arrive(rank::urgent).has_value());
    BOOST_TEST(take().has_value());
    BOOST_TEST(take().has_value());
    BOOST_TEST(!take().has_value());
    release_slot(state, rank::urgent, 20ms);
    BOOST_TEST(take().has_value());
    BOOST_TEST((state.service_time == core::duration(11ms)));
}

BOOST_FIXTURE_TEST_CASE(urgent_work_goes_first, server_queue)
{
    arrive(rank::deferred);
    arrive(rank::interactive);
    arrive(rank::urgent);
    BOOST_TEST((take_one() == rank::urgent));
    BOOST_TEST((take_one() == rank::interactive));
}

BOOST_FIXTURE_TEST_CASE(one_that_lacks_a_connection_is_passed_over,
                        server_queue)
{
    arrive(rank::urgent);
    arrive(rank::deferred);
    const auto it = dequeue_next(state, settings,
                                 [](const queue_entry& entry) {
                                     return entry.importance == rank::deferred;
                                 });
    BOOST_TEST((it && it->importance == rank::deferred));
}

BOOST_AUTO_TEST_SUITE(while_one_rank_floods)

// Guards against urgent floods that starve Browses and Syncs.
BOOST_FIXTURE_TEST_CASE(lower_ranks_keep_their_minimum, server_queue)
{
    const auto served =
        serve(1000, {rank::urgent, rank::interactive, rank::deferred});
    BOOST_TEST(std::abs(served[1] - 200) <= 20);
    BOOST_TEST(std::abs(served[2] - 100) <= 10);
}

BOOST_FIXTURE_TEST_CASE(unused_shares_pass_to_the_others, server_queue)
{
    const auto served = serve(1000, {rank::deferred});
    BOOST_TEST(served[2] == 1000);
}

// Guards against a rank that saves up its share while it does not wait and
// then delays urgent work with a burst.
BOOST_FIXTURE_TEST_CASE(an_idle_rank_saves_up_nothing, server_queue)
{
    serve(1000, {rank::urgent});
    const auto served = serve(10, {rank::urgent, rank::interactive});
    BOOST_TEST(served[1] <= 2);
}

// Guards against deferred floods that leave no slot for a Quote.
BOOST_FIXTURE_TEST_CASE(reserved_slots_stay_free_for_urgent_work, server_queue)
{
    settings.urgent_slots = 1;
    arrive(rank::deferred);
    arrive(rank::deferred);
    BOOST_TEST(take().has_value());
    BOOST_TEST(!take().has_value());
    arrive(rank::urgent);
    BOOST_TEST((take_one() == rank::urgent));
}

BOOST_FIXTURE_TEST_CASE(without_ranks_the_order_is_that_of_arrival,
                        server_queue)
{
    settings.scheduling = scheduling_policy::first_come_first_served;
    arrive(rank::deferred);
    now += 1ms;
    arrive(rank::urgent);
    BOOST_TEST((take_one() == rank::deferred));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_the_queue_is_long)

// Guards against callers who wait for an answer that must come too late.
BOOST_FIXTURE_TEST_CASE(one_that_would_miss_its_deadline_is_refused,
                        server_queue)
{
    while (waiting_count(state) < 20)
        arrive(rank::urgent);
    BOOST_TEST(arrive(rank::urgent, 50ms).has_value());
    BOOST_TEST(!arrive(rank::urgent, 200ms).has_value());
}

// Guards against a flood of one rank that closes the queue to a more urgent.
BOOST_FIXTURE_TEST_CASE(a_more_urgent_one_is_accepted, server_queue)
{
    while (waiting_count(state) < 50)
        arrive(rank::deferred);
    BOOST_TEST(!arrive(rank::urgent, 50ms).has_value());
}

BOOST_FIXTURE_TEST_CASE(its_memory_is_bounded, server_queue)
{
    settings.max_entries = 2;
    arrive(rank::urgent);
    arrive(rank::urgent);
    BOOST_TEST(arrive(rank::urgent).has_value());
}

// Guards against a flood of one rank that fills the queue for the others.
BOOST_FIXTURE_TEST_CASE(a_full_rank_leaves_room_for_the_others, server_queue)
{
    settings.max_entries = 2;
    arrive(rank::deferred);
    arrive(rank::deferred);
    BOOST_TEST(arrive(rank::deferred).has_value());
    BOOST_TEST(!arrive(rank::urgent).has_value());
}

BOOST_FIXTURE_TEST_CASE(expired_entries_leave_it, server_queue)
{
    arrive(rank::urgent, 10ms);
    arrive(rank::urgent);
    BOOST_TEST(take_expired(state, now + 10ms).size() == 1U);
    BOOST_TEST(waiting_count(state) == 1U);
    BOOST_TEST(remove(state, {"1"}));
    BOOST_TEST(!remove(state, {"1"}));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
