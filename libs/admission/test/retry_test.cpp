#include "godwitbarrow/admission/retry.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow::admission;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(requests_fail_and_are_retried)

// Guards against retries that multiply the load on a failing server.
BOOST_AUTO_TEST_CASE(at_most_one_retry_for_ten_successes)
{
    const retry_settings settings;
    retry_budget budget{0};
    int retries = 0;
    for (int n = 0; n < 1000; ++n)
    {
        record_success(budget, settings);
        if (take_retry(budget, settings))
            ++retries;
    }
    BOOST_TEST((retries >= 99 && retries <= 100));
}

BOOST_AUTO_TEST_CASE(the_budget_is_limited_to_the_burst)
{
    const retry_settings settings;
    retry_budget budget{1000};
    int retries = 0;
    while (take_retry(budget, settings))
        ++retries;
    BOOST_TEST(retries == 10);
}

// Guards against callers that retry at the same time.
BOOST_AUTO_TEST_CASE(the_back_off_is_spread_over_its_whole_range)
{
    const retry_settings settings;
    BOOST_TEST((backoff_delay(settings, 1, 0.0) == 0ms));
    BOOST_TEST((backoff_delay(settings, 1, 0.5) == 5ms));
    BOOST_TEST((backoff_delay(settings, 3, 0.5) == 20ms));
    BOOST_TEST((backoff_delay(settings, 1000000, 0.5) == 250ms));
}

BOOST_AUTO_TEST_SUITE_END()
