#include "godwitbarrow/core/lock_order.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>

using namespace godwitbarrow::core;

BOOST_AUTO_TEST_SUITE(a_thread_locks_shared_tables)

BOOST_AUTO_TEST_SUITE(in_the_stated_order)

// Guards against a check that rejects correct code or forgets a release.
BOOST_AUTO_TEST_CASE(it_proceeds_and_can_lock_again)
{
    ordered_mutex<lock_level::settings> outer;
    ordered_mutex<lock_level::group_state> inner;
    for (int n = 0; n < 2; ++n)
    {
        std::lock_guard first(outer);
        std::lock_guard second(inner);
    }
    BOOST_TEST(true);
}

BOOST_AUTO_TEST_SUITE_END()

#ifndef NDEBUG
BOOST_AUTO_TEST_SUITE(in_the_wrong_order)

// Guards against a deadlock between two workers going unnoticed in tests.
BOOST_AUTO_TEST_CASE(the_process_aborts)
{
    const auto child = fork();
    if (child == 0)
    {
        std::signal(SIGABRT, SIG_DFL);
        std::fclose(stderr);
        detail::enter_level(lock_level::peers);
        detail::enter_level(lock_level::hosts);
        _exit(0);
    }
    int state = 0;
    waitpid(child, &state, 0);
    BOOST_TEST(WIFSIGNALED(state));
}

BOOST_AUTO_TEST_SUITE_END()
#endif

BOOST_AUTO_TEST_SUITE_END()
