#include "godwitbarrow/admission/queue.hpp"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace godwitbarrow;
using namespace godwitbarrow::admission;
using namespace std::chrono_literals;
using core::rank;

namespace
{

/// Queue of a server with two slots whose statements take 10 ms.
struct queue_fixture
{
    queue_state state;
    queue_settings settings;
    core::time_point now{100s};
    int next = 0;

    queue_fixture()
    {
        state.slots = 2;
        state.service_time = 10ms;
    }

    std::optional<core::duration> enqueue_request(rank importance,
                                                  core::duration timeout = 1s)
    {
        const auto id = core::request_id{std::to_string(next++)};
        return enqueue(
            state, settings,
            {id, importance, connection_need::shared, now, now + timeout}, now);
    }

    std::optional<queue_entry> dequeue()
    {
        return dequeue_next(state, settings,
                            [](const queue_entry&) { return true; });
    }

    rank dequeue_rank()
    {
        const auto it = dequeue();
        BOOST_REQUIRE(it);
        return it->importance;
    }

    /// Dispatches entries while all ranks of `waiting_ranks` always have
    /// entries.
    std::array<int, core::rank_count> serve(
        int dispatches, const std::vector<rank>& waiting_ranks)
    {
        std::array<int, core::rank_count> served{};
        for (int n = 0; n < dispatches; ++n)
        {
            for (const auto it : waiting_ranks)
                while (state.waiting[core::index_of(it)].size() < 3)
                    enqueue_unchecked(state, {{std::to_string(next++)},
                                              it,
                                              connection_need::shared,
                                              now,
                                              now + 1s});
            const auto it = dequeue_rank();
            ++served[core::index_of(it)];
            release_slot(state, it, std::nullopt);
        }
        return served;
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(requests_wait_for_slots)

BOOST_FIXTURE_TEST_CASE(no_more_than_the_slots_run, queue_fixture)
{
    for (int n = 0; n < 3; ++n)
        BOOST_TEST(!enqueue_request(rank::urgent).has_value());
    BOOST_TEST(dequeue().has_value());
    BOOST_TEST(dequeue().has_value());
    BOOST_TEST(!dequeue().has_value());
    release_slot(state, rank::urgent, 20ms);
    BOOST_TEST(dequeue().has_value());
    BOOST_TEST((state.service_time == core::duration(11ms)));
}

BOOST_FIXTURE_TEST_CASE(urgent_work_goes_first, queue_fixture)
{
    enqueue_request(rank::deferred);
    enqueue_request(rank::interactive);
    enqueue_request(rank::urgent);
    BOOST_TEST((dequeue_rank() == rank::urgent));
    BOOST_TEST((dequeue_rank() == rank::interactive));
}

BOOST_FIXTURE_TEST_CASE(one_that_lacks_a_connection_is_passed_over,
                        queue_fixture)
{
    enqueue_request(rank::urgent);
    enqueue_request(rank::deferred);
    const auto it = dequeue_next(state, settings,
                                 [](const queue_entry& entry) {
                                     return entry.importance == rank::deferred;
                                 });
    BOOST_TEST((it && it->importance == rank::deferred));
}

BOOST_AUTO_TEST_SUITE(while_one_rank_is_overloaded)

// Guards against an overload of urgent work that starves Browse and Workshop
// Sync.
BOOST_FIXTURE_TEST_CASE(lower_ranks_keep_their_minimum, queue_fixture)
{
    const auto served =
        serve(1000, {rank::urgent, rank::interactive, rank::deferred});
    BOOST_TEST(std::abs(served[1] - 200) <= 20);
    BOOST_TEST(std::abs(served[2] - 100) <= 10);
}

BOOST_FIXTURE_TEST_CASE(unused_shares_pass_to_the_others, queue_fixture)
{
    const auto served = serve(1000, {rank::deferred});
    BOOST_TEST(served[2] == 1000);
}

// Guards against a rank that accumulates credit while it has no entries and
// then delays urgent work with a burst.
BOOST_FIXTURE_TEST_CASE(an_idle_rank_accumulates_no_credit, queue_fixture)
{
    serve(1000, {rank::urgent});
    const auto served = serve(10, {rank::urgent, rank::interactive});
    BOOST_TEST(served[1] <= 2);
}

// Guards against an overload of deferred work that leaves no slot for a Quote.
BOOST_FIXTURE_TEST_CASE(reserved_slots_stay_free_for_urgent_work, queue_fixture)
{
    settings.urgent_slots = 1;
    enqueue_request(rank::deferred);
    enqueue_request(rank::deferred);
    BOOST_TEST(dequeue().has_value());
    BOOST_TEST(!dequeue().has_value());
    enqueue_request(rank::urgent);
    BOOST_TEST((dequeue_rank() == rank::urgent));
}

BOOST_FIXTURE_TEST_CASE(without_ranks_the_order_is_that_of_arrival,
                        queue_fixture)
{
    settings.scheduling = scheduling_policy::first_come_first_served;
    enqueue_request(rank::deferred);
    now += 1ms;
    enqueue_request(rank::urgent);
    BOOST_TEST((dequeue_rank() == rank::deferred));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_the_queue_is_long)

// Guards against callers that wait for an answer that cannot arrive in time.
BOOST_FIXTURE_TEST_CASE(one_that_would_miss_its_deadline_is_refused,
                        queue_fixture)
{
    while (waiting_count(state) < 20)
        enqueue_request(rank::urgent);
    BOOST_TEST(enqueue_request(rank::urgent, 50ms).has_value());
    BOOST_TEST(!enqueue_request(rank::urgent, 200ms).has_value());
}

// Guards against an overload of one rank that causes a more urgent rank to be
// refused.
BOOST_FIXTURE_TEST_CASE(a_more_urgent_one_is_accepted, queue_fixture)
{
    while (waiting_count(state) < 50)
        enqueue_request(rank::deferred);
    BOOST_TEST(!enqueue_request(rank::urgent, 50ms).has_value());
}

BOOST_FIXTURE_TEST_CASE(its_memory_is_bounded, queue_fixture)
{
    settings.max_entries = 2;
    enqueue_request(rank::urgent);
    enqueue_request(rank::urgent);
    BOOST_TEST(enqueue_request(rank::urgent).has_value());
}

// Guards against an overload of one rank that fills the queue for the others.
BOOST_FIXTURE_TEST_CASE(a_full_rank_leaves_room_for_the_others, queue_fixture)
{
    settings.max_entries = 2;
    enqueue_request(rank::deferred);
    enqueue_request(rank::deferred);
    BOOST_TEST(enqueue_request(rank::deferred).has_value());
    BOOST_TEST(!enqueue_request(rank::urgent).has_value());
}

BOOST_FIXTURE_TEST_CASE(expired_entries_leave_it, queue_fixture)
{
    enqueue_request(rank::urgent, 10ms);
    enqueue_request(rank::urgent);
    BOOST_TEST(take_expired(state, now + 10ms).size() == 1U);
    BOOST_TEST(waiting_count(state) == 1U);
    BOOST_TEST(remove(state, {"1"}));
    BOOST_TEST(!remove(state, {"1"}));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
