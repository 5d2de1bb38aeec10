#include "deployment.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::test;

BOOST_AUTO_TEST_SUITE(a_host_on_the_platform)

BOOST_FIXTURE_TEST_CASE(serves_sessions_from_one_end_to_the_other, deployment)
{
    caller it(port, "newest");
    BOOST_TEST(it.line() == "READY I -");
    BOOST_TEST(it.query("SET encoding utf8") == "DONE - | READY I -");
    BOOST_TEST(it.query("WRITE 1 x") == "DONE sig | READY I -");
    BOOST_TEST(it.query("READ 1") == "ROW x | DONE sig | READY I -");
    BOOST_TEST(it.query("PREPARE s1 WRITE q2c") == "DONE - | READY I -");
    BOOST_TEST(it.query("BEGIN") == "DONE - | READY T -");
    BOOST_TEST(it.query("EXECUTE s1 1 y") == "DONE sig | READY T -");
    BOOST_TEST(it.query("READ 1") == "ROW y | DONE sig | READY T -");
    BOOST_TEST(it.query("ROLLBACK") == "DONE - | READY I -");
    BOOST_TEST(it.query("READ 1") == "ROW x | DONE sig | READY I -");
}

BOOST_FIXTURE_TEST_CASE(refuses_a_database_without_a_route, deployment)
{
    caller it(port, "elsewhere");
    BOOST_TEST(it.line().rfind("ERROR NODB", 0) == 0U);
    BOOST_TEST(it.line() == "closed");
}

BOOST_FIXTURE_TEST_CASE(reads_own_writes_at_replicas, deployment)
{
    caller it(port, "own");
    it.line();
    for (int n = 0; n < 10; ++n)
    {
        const auto value = "v" + std::to_string(n);
        BOOST_TEST(it.query("WRITE 1 " + value) == "DONE sig | READY I -");
        BOOST_TEST(it.query("READ 1") ==
                   "ROW " + value + " | DONE sig | READY I -");
    }
}

BOOST_AUTO_TEST_SUITE(survives_callers)

BOOST_FIXTURE_TEST_CASE(that_send_nonsense_or_half_a_message, deployment)
{
    for (const auto* text : {"\r\n", "QUERY\r\n", "\xff\xfe\r\n",
                             "STARTUP a\r\nSTARTUP b\r\n", "STARTUP"})
    {
        asio::io_context own;
        asio::ip::tcp::socket s(own);
        s.connect({asio::ip::address_v4::loopback(), port});
        asio::write(s, asio::buffer(std::string(text)));
    }
    caller it(port, "newest");
    BOOST_TEST(it.line() == "READY I -");
    BOOST_TEST(it.query("READ 1") == "ROW none | DONE sig | READY I -");
}

// Guards against a statement that a caller smuggles into another one behind a
// line feed: both parts used to run.
BOOST_FIXTURE_TEST_CASE(that_put_a_statement_behind_a_line_feed, deployment)
{
    caller it(port, "newest");
    it.line();
    BOOST_TEST(it.query("WRITE 1 x\nQUERY smuggled WRITE 1 y")
                   .rfind("ERROR MALFORMED", 0) == 0U);
    BOOST_TEST(it.query("READ 1") == "ROW none | DONE sig | READY I -");
    at_standins([&] { BOOST_TEST(data->writes == 0U); });
}

BOOST_FIXTURE_TEST_CASE(that_leave_inside_a_transaction, deployment)
{
    for (int n = 0; n < 20; ++n)
    {
        caller it(port, "newest");
        it.line();
        it.query("BEGIN");
        it.query("WRITE 1 lost");
    }
    caller it(port, "newest");
    it.line();
    BOOST_TEST(it.query("READ 1") == "ROW none | DONE sig | READY I -");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_answer_to_a_write_is_lost)

// Guards against a write that takes effect twice.
BOOST_FIXTURE_TEST_CASE(says_so_and_does_not_repeat_it, deployment)
{
    at_standins([&] { members[0]->lose_next_write = true; });
    caller it(port, "newest");
    it.line();
    BOOST_TEST(it.query("WRITE 1 x").rfind("ERROR INDOUBT", 0) == 0U);
    BOOST_TEST(it.query("READ 1") == "ROW x | DONE sig | READY I -");
    at_standins([&] { BOOST_TEST(data->writes == 1U); });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_another_host_replaces_the_primary)

// Guards against writes to the old primary of a group with synchronous
// replicas, which it acknowledges and the promoted replica lacks (review case
// 6).
BOOST_FIXTURE_TEST_CASE(sends_it_no_more_writes, deployment)
{
    at_standins([&] { configure(2, 1); });
    wait_until([&] { return configured_version() == 2; });
    at_standins([&] { claim_takeover("host-2", "a"); });
    wait_until([&] { return is_revoked("a"); });
    caller it(port, "newest");
    it.line();
    BOOST_TEST(it.query("WRITE 1 x").rfind("ERROR BUSY", 0) == 0U);
    at_standins([&] { BOOST_TEST(data->writes == 0U); });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_primary_goes_dark)

BOOST_FIXTURE_TEST_CASE(promotes_a_replica_and_goes_on, deployment)
{
    caller it(port, "newest");
    it.line();
    it.query("WRITE 1 x");
    at_standins([&] { members[0]->dark = true; });
    wait_until([&] { return it.query("WRITE 1 y") == "DONE sig | READY I -"; });
    at_standins([&] { BOOST_TEST(data->primary != "a"); });
    BOOST_TEST(it.query("READ 1") == "ROW y | DONE sig | READY I -");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
