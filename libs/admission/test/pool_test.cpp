#include "godwitbarrow/admission/pool.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace godwitbarrow::admission;
using namespace std::chrono_literals;

namespace
{

struct pool_fixture
{
    pool_state pool;
    pool_settings settings;
    core::time_point now{1000s};

    void add(connection_number n, connection_phase phase, core::duration age)
    {
        const auto t = now - age;
        pool.connections[n] = {phase, t, t, t, t};
    }

    std::size_t to_open(std::size_t waiting) const
    {
        return connections_to_open(pool, settings, waiting, now);
    }
};

constexpr auto idle = connection_phase::idle;

}  // namespace

BOOST_AUTO_TEST_SUITE(an_owner_has_connections_to_a_server)

// Guards against an owner that leaves no connections for its successor.
BOOST_FIXTURE_TEST_CASE(it_leaves_the_reserve_to_others, pool_fixture)
{
    BOOST_TEST(usable_limit(pool, settings) == 12U);
    BOOST_TEST(to_open(100) == 12U);
    pool.connection_limit = 2;
    BOOST_TEST(usable_limit(pool, settings) == 1U);
}

// Guards against requests that wait until a connection is open.
BOOST_FIXTURE_TEST_CASE(spares_are_open_before_they_are_needed, pool_fixture)
{
    BOOST_TEST(to_open(0) == 2U);
    add(1, idle, 1s);
    add(2, connection_phase::opening, 1ms);
    BOOST_TEST(to_open(0) == 0U);
    BOOST_TEST(to_open(3) == 3U);
}

BOOST_FIXTURE_TEST_CASE(the_most_recently_used_is_taken, pool_fixture)
{
    add(1, idle, 2s);
    add(2, idle, 1s);
    add(3, connection_phase::busy, 0s);
    BOOST_TEST((pick_idle(pool, settings, now) == 2U));
}

BOOST_AUTO_TEST_SUITE(that_were_idle_for_a_while)

// Guards against sending statements on connections that a firewall has dropped.
BOOST_FIXTURE_TEST_CASE(they_are_probed_before_reuse, pool_fixture)
{
    add(1, idle, 5s);
    BOOST_TEST(!pick_idle(pool, settings, now).has_value());
    BOOST_TEST(connections_to_probe(pool, settings, now).size() == 1U);
    BOOST_TEST((next_deadline(pool, settings) == now));
}

BOOST_FIXTURE_TEST_CASE(they_are_closed_at_the_limit, pool_fixture)
{
    add(1, idle, 60s);
    pool.connections[1].verified_at = now;
    BOOST_TEST(!pick_idle(pool, settings, now).has_value());
    BOOST_TEST(connections_to_close(pool, settings, now).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_which_one_stopped_answering)

// Guards against sending one request after another on dead connections.
BOOST_FIXTURE_TEST_CASE(older_ones_are_not_used_without_a_probe, pool_fixture)
{
    add(1, idle, 2s);
    add(2, idle, 500ms);
    pool.silence_detected_at = now - 1s;
    BOOST_TEST(needs_probe(pool, pool.connections[1], settings, now));
    BOOST_TEST((pick_idle(pool, settings, now) == 2U));
    pool.connections[1].verified_at = now;
    BOOST_TEST(!needs_probe(pool, pool.connections[1], settings, now));
}

BOOST_FIXTURE_TEST_CASE(a_probe_without_an_answer_times_out, pool_fixture)
{
    add(1, connection_phase::probing, 500ms);
    add(2, connection_phase::opening, 500ms);
    BOOST_TEST(connections_to_close(pool, settings, now).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a tight loop of attempts to connect to a server that accepts
// no connections.
BOOST_FIXTURE_TEST_CASE(failed_attempts_back_off, pool_fixture)
{
    pool.open_backoff_until = now + 10ms;
    BOOST_TEST(to_open(5) == 0U);
    BOOST_TEST((next_deadline(pool, settings) == now + 10ms));
}

BOOST_AUTO_TEST_SUITE_END()
