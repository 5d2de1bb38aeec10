#include "godwitbarrow/admission/caller_limits.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace godwitbarrow::admission;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t mib = std::uint64_t{1024} * 1024;

struct watched
{
    core::time_point start{1h};
    progress_watch watch;
    caller_progress at;
    caller_limits within;

    watched()
    {
        watch.connected = start;
        at.started = true;
    }

    bool is_closed(core::duration after)
    {
        return check_progress(watch, at, within, start + after).has_value();
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(limits_of_callers)

BOOST_AUTO_TEST_SUITE(derived_from_a_machine)

BOOST_AUTO_TEST_CASE(leave_descriptors_and_memory_for_the_rest)
{
    for (const auto memory : {64 * mib, 160 * mib, 520 * mib})
        for (const std::uint64_t descriptors : {256, 512, 4400, 11000})
        {
            const auto it = derive_caller_limits(memory, descriptors);
            BOOST_TEST(it.bytes + it.connections * 8192 <= memory * 3 / 4);
            BOOST_TEST(it.connections + 128 + 32 <= descriptors);
            BOOST_TEST(it.connections > 0U);
        }
}

// Guards against limits that a host with thousands of idle sessions meets.
BOOST_AUTO_TEST_CASE(allow_thousands_of_sessions)
{
    BOOST_TEST(derive_caller_limits(160 * mib, 4400).connections >= 3000U);
    BOOST_TEST(derive_caller_limits(520 * mib, 11000).connections >= 10000U);
    BOOST_TEST(derive_caller_limits(0, 0).connections >= 500U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(in_time, watched)

BOOST_AUTO_TEST_CASE(close_a_connection_without_a_startup)
{
    at.started = false;
    BOOST_TEST(!is_closed(9s));
    BOOST_TEST(is_closed(10s));
}

// Guards against a message that stays open byte by byte.
BOOST_AUTO_TEST_CASE(close_a_message_that_only_grows)
{
    for (auto n = 0s; n < 30s; n += 5s)
    {
        ++at.unfinished;
        BOOST_TEST(!is_closed(n));
    }
    BOOST_TEST(is_closed(30s));
}

// Guards against time that the host itself did not read.
BOOST_AUTO_TEST_CASE(count_only_while_the_host_reads)
{
    at.unfinished = 1;
    at.paused = true;
    BOOST_TEST(!is_closed(1s));
    BOOST_TEST(!is_closed(40s));
    at.paused = false;
    BOOST_TEST(!is_closed(41s));
    ++at.messages;
    BOOST_TEST(!is_closed(75s));
}

BOOST_AUTO_TEST_CASE(close_a_caller_that_takes_no_byte_of_an_answer)
{
    at.untaken = 100;
    BOOST_TEST(!is_closed(1s));
    ++at.taken;
    BOOST_TEST(!is_closed(29s));
    BOOST_TEST(!is_closed(58s));
    BOOST_TEST(is_closed(59s));
}

BOOST_AUTO_TEST_CASE(keep_an_idle_session)
{
    BOOST_TEST(!is_closed(1s));
    BOOST_TEST(!is_closed(24h));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against silent connections that keep others out, and against the loss
// of a session in use.
BOOST_AUTO_TEST_CASE(make_room_by_the_least_needed_connections)
{
    const core::time_point now{1h};
    const std::vector<eviction_candidate> all{
        {1, true, true, 0, now - 60s},  {2, true, true, 0, now - 3s},
        {3, true, false, 1, now - 60s}, {4, true, false, 0, now - 5s},
        {5, true, false, 0, now - 50s}, {6, false, false, 0, now - 1s}};
    const std::vector<std::uint64_t> two{6, 5};
    const std::vector<std::uint64_t> most{6, 5, 4, 1};
    BOOST_TEST(choose_evictions(all, 2, now) == two);
    BOOST_TEST(choose_evictions(all, 10, now) == most);
}

BOOST_AUTO_TEST_SUITE_END()
