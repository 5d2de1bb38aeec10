#include "godwitbarrow/core/clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace godwitbarrow::core;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(a_test_pauses_the_clock)

struct paused_clock
{
    paused_clock()
    {
        runtime_clock::pause();
    }
    ~paused_clock()
    {
        runtime_clock::resume();
    }
};

BOOST_FIXTURE_TEST_SUITE(and_a_timer_is_running, paused_clock)

// Guards against tests that depend on the speed of the machine.
BOOST_AUTO_TEST_CASE(the_timer_fires_only_after_the_clock_is_advanced)
{
    boost::asio::io_context io;
    timer it(io);
    bool fired = false;
    it.expires_after(1h);
    it.async_wait([&](auto ec) { fired = !ec; });
    io.poll();
    BOOST_TEST(!fired);
    runtime_clock::advance(1h);
    io.run();
    BOOST_TEST(fired);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against time that jumps back when a test ends.
BOOST_AUTO_TEST_CASE(time_continues_from_the_advanced_value)
{
    runtime_clock::pause();
    const auto t = runtime_clock::now();
    runtime_clock::advance(5s);
    runtime_clock::resume();
    BOOST_TEST((runtime_clock::now() >= t + 5s));
}

BOOST_AUTO_TEST_SUITE_END()
