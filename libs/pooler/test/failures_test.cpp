#include "fixture.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::pooler;
using godwitbarrow::pooler::test::pooler_fixture;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(when_the_connection_to_a_member_breaks)

// Guards against a write that is executed twice.
BOOST_FIXTURE_TEST_CASE(a_write_is_in_doubt_and_not_sent_again, pooler_fixture)
{
    start(1, "newest");
    query(1, verb::write, "WRITE 1 x");
    post(member_connection_lost{sent().connection, std::nullopt, "reset"});
    BOOST_TEST(outcome(1) == "in doubt");
    BOOST_TEST(!first_of<send_to_member>());
}

BOOST_FIXTURE_TEST_CASE(a_write_that_was_not_sent_is_retried_on_another_member,
                        pooler_fixture)
{
    start(1, "newest");
    query(1, verb::write, "WRITE 1 x");
    const auto opened = *first_of<open_connection>();
    post(member_connection_lost{opened.connection, std::nullopt, "refused"});
    BOOST_TEST(!reply(1));
    BOOST_REQUIRE(first_of<open_connection>());
    BOOST_TEST(first_of<open_connection>()->server.value != "primary");
}

// Guards against a primary that receives no statements after one lost answer.
BOOST_FIXTURE_TEST_CASE(the_next_write_goes_to_the_same_primary, pooler_fixture)
{
    start(1, "newest");
    start(2, "newest");
    query(1, verb::write, "WRITE 1 x");
    post(member_connection_lost{sent().connection, std::nullopt, "reset"});
    query(2, verb::write, "WRITE 2 x");
    BOOST_REQUIRE(first_of<open_connection>());
    BOOST_TEST(first_of<open_connection>()->server.value == "primary");
}

BOOST_FIXTURE_TEST_CASE(a_read_is_retried_on_another_member, pooler_fixture)
{
    start(100, "newest");
    read_newest(100, {1, 5});
    connect_replicas();
    start(1, "bounded");
    query(1, verb::read, "READ 1");
    post(member_connection_lost{sent().connection, std::nullopt, "reset"});
    BOOST_TEST(!reply(1));
    BOOST_TEST(server_of(sent().connection) == "far");
}

BOOST_FIXTURE_TEST_CASE(a_commit_of_writes_is_in_doubt, pooler_fixture)
{
    const auto c = open_transaction(1);
    query(1, verb::commit);
    post(member_connection_lost{c, std::nullopt, "reset"});
    BOOST_TEST(outcome(1) == "in doubt");
}

BOOST_FIXTURE_TEST_CASE(a_commit_without_writes_is_aborted, pooler_fixture)
{
    start(1, "newest");
    query(1, verb::begin);
    query(1, verb::read, "READ 1");
    const auto c = sent().connection;
    succeed(c, {1, 5}, session_state::in_transaction);
    succeed(c, {1, 5}, session_state::in_transaction, "s");
    query(1, verb::commit);
    post(member_connection_lost{c, std::nullopt, "reset"});
    BOOST_TEST(outcome(1) == "aborted");
}

BOOST_FIXTURE_TEST_CASE(an_open_transaction_is_aborted, pooler_fixture)
{
    start(1, "newest");
    query(1, verb::begin);
    query(1, verb::write, "WRITE 1 x");
    const auto c = sent().connection;
    succeed(c, {1, 5}, session_state::in_transaction);
    post(member_connection_lost{c, std::nullopt, "reset"});
    BOOST_TEST(outcome(1) == "aborted");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_member_does_not_answer)

BOOST_FIXTURE_TEST_CASE(begin_times_out_before_the_statement, pooler_fixture)
{
    start(1, "newest");
    query(1, verb::read, "READ 1");
    const auto c = sent().connection;
    wait(325ms);
    BOOST_TEST(!pooler_state.connections.count(c));
    BOOST_TEST(!reply(1));
}

BOOST_FIXTURE_TEST_CASE(a_write_is_in_doubt_at_the_timeout_of_its_route,
                        pooler_fixture)
{
    start(1, "newest");
    query(1, verb::write, "WRITE 1 x");
    const auto c = sent().connection;
    wait(775ms);
    BOOST_TEST(!reply(1));
    wait(50ms);
    BOOST_TEST(outcome(1) == "in doubt");
    BOOST_TEST(!pooler_state.connections.count(c));
}

BOOST_FIXTURE_TEST_CASE(the_primary_counts_as_unreachable, pooler_fixture)
{
    start(100, "newest");
    read_newest(100, {1, 5});
    BOOST_TEST(!view_primary(pooler_state, group, now).unreachable);
    start(1, "newest");
    query(1, verb::read, "READ 1");
    wait(800ms);
    BOOST_TEST(view_primary(pooler_state, group, now).unreachable);
}

BOOST_FIXTURE_TEST_CASE(a_primary_that_answers_other_statements_does_not,
                        pooler_fixture)
{
    start(100, "newest");
    read_newest(100, {1, 5});
    start(1, "newest");
    query(1, verb::write, "WRITE 1 x");
    const auto c = sent().connection;
    start(2, "newest");
    wait(600ms);
    query(2, verb::write, "WRITE 2 x");
    const auto other = sent().connection;
    BOOST_TEST(other != c);
    wait(250ms);
    succeed(other, {1, 6}, session_state::idle, "s");
    BOOST_TEST(!view_primary(pooler_state, group, now).unreachable);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_member_refuses)

BOOST_FIXTURE_TEST_CASE(
    a_statement_is_retried_on_a_busy_primary_after_a_back_off, pooler_fixture)
{
    start(1, "newest");
    query(1, verb::write, "WRITE 1 x");
    const auto c = sent().connection;
    fail(c, failure_code::busy);
    BOOST_TEST(!reply(1));
    BOOST_TEST(!first_of<send_to_member>());
    wait(50ms);
    BOOST_TEST(sent().connection == c);
}

BOOST_FIXTURE_TEST_CASE(an_open_transaction_stays_on_a_busy_member,
                        pooler_fixture)
{
    start(1, "newest");
    query(1, verb::begin);
    query(1, verb::write, "WRITE 1 x");
    const auto c = sent().connection;
    succeed(c, {1, 5}, session_state::in_transaction);
    fail(c, failure_code::busy, session_state::in_transaction);
    BOOST_TEST(!reply(1));
    wait(25ms);
    BOOST_TEST((sent().statements.back().stmt.kind == verb::write));
}

// Guards against an answer without proof that a member ran the statement.
BOOST_FIXTURE_TEST_CASE(an_unsigned_answer_is_no_success, pooler_fixture)
{
    start(1, "newest");
    query(1, verb::write, "WRITE 1 x");
    succeed(sent().connection, {1, 6});
    BOOST_TEST(outcome(1) == "other");
}

BOOST_AUTO_TEST_SUITE_END()
