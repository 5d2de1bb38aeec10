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

struct patient_deployment : deployment
{
    patient_deployment() : deployment(1, 20s) {}
};

// Guards against an answer that is cut off in the middle because no session is
// open any more while its connection still sends.
BOOST_FIXTURE_TEST_CASE(sends_the_rest_of_a_large_answer, patient_deployment)
{
    constexpr std::size_t size = 1'000'000;
    constexpr std::size_t answers = 6;
    caller it(port, "newest", 4096);
    it.line();
    it.query("WRITE 1 " + std::string(size, 'x'));
    for (std::size_t n = 0; n < answers; ++n)
        it.write("QUERY 5c0e7a21 READ 1");
    asio::post(host->io, [&] { proxy::pooled::shut_down(*host); });
    const auto received = it.read_slowly(answers * size);
    BOOST_TEST(received >= answers * size);
    wait_until([this] { return host->io.stopped(); });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
