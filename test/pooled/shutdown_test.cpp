#include "deployment.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::test;

BOOST_AUTO_TEST_SUITE(a_host_on_the_platform)

BOOST_AUTO_TEST_SUITE(when_it_is_told_to_stop)

BOOST_FIXTURE_TEST_CASE(finishes_open_transactions_and_ends, deployment)
{
    caller idle(port, "newest");
    idle.line();
    caller it(port, "newest");
    it.line();
    it.query("BEGIN");
    it.query("WRITE 1 x");
    asio::post(host->io, [&] { proxy::pooled::shut_down(*host); });
    BOOST_TEST(idle.line() == "closed");
    BOOST_TEST(!host->ready.load());
    BOOST_TEST(it.query("COMMIT") == "DONE sig | READY I -");
    BOOST_TEST(it.line() == "closed");
    wait_until([&] { return host->io.stopped(); });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
