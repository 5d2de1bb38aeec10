#include "godwitbarrow/serving/decide.hpp"

#include <boost/test/unit_test.hpp>

#include "fixture.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::serving;
using namespace std::chrono_literals;
using test::group_fixture;

BOOST_AUTO_TEST_SUITE(a_write_reaches_the_owner_of_the_primary)

BOOST_FIXTURE_TEST_CASE(it_is_answered_when_a_replica_holds_it, group_fixture)
{
    arrive(write("w1"));
    const auto sent = only_statement();
    BOOST_TEST(sent.term == 1U);
    reply(sent, {1, 11});
    BOOST_TEST(answers.empty());
    status("b", {1, 1, 11});
    BOOST_TEST(completed("w1").at == (core::log_position{1, 11}));
}

// Guards against acknowledging a write that only one member holds and could
// lose.
BOOST_FIXTURE_TEST_CASE(a_replica_of_another_log_term_does_not_count,
                        group_fixture)
{
    arrive(write("w1"));
    reply(only_statement(), {1, 11});
    status("b", {1, 0, 99});
    BOOST_TEST(answers.empty());
    advance(5s);
    BOOST_TEST((unknown("w1") == core::error_kind::confirmation_timeout));
}

BOOST_AUTO_TEST_SUITE(and_it_cannot_be_confirmed)

// Guards against sending a write that no majority can confirm.
BOOST_FIXTURE_TEST_CASE(it_is_refused_before_it_is_sent, group_fixture)
{
    deliver(status_missed{{"b"}});
    deliver(status_missed{{"c"}});
    arrive(write("w1"));
    BOOST_TEST(statements.empty());
    BOOST_TEST((not_run("w1") == core::error_kind::no_quorum));
}

// Guards against accepting writes whose confirmation would time out.
BOOST_FIXTURE_TEST_CASE(it_is_refused_early_when_replicas_lag, group_fixture)
{
    state.confirmation_delay = 10s;
    arrive(write("w1"));
    BOOST_TEST((not_run("w1") == core::error_kind::no_quorum));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_its_connection_fails)

// Guards against running a Quote twice although it must not be repeated.
BOOST_FIXTURE_TEST_CASE(without_a_key_it_is_not_sent_again, group_fixture)
{
    arrive(write("w1"));
    fail(only_statement(), true);
    advance(1s);
    BOOST_TEST(statements.size() == 1U);
    BOOST_TEST((unknown("w1") == core::error_kind::connection_lost));
}

BOOST_FIXTURE_TEST_CASE(it_is_sent_again_if_no_byte_was_sent, group_fixture)
{
    arrive(write("w1"));
    fail(only_statement(), false);
    advance(1s);
    BOOST_TEST(statements.size() == 2U);
    BOOST_TEST(answers.empty());
}

BOOST_FIXTURE_TEST_CASE(with_a_key_it_is_sent_again, group_fixture)
{
    arrive(write("w1", "key"));
    fail(only_statement(), true);
    advance(1s);
    BOOST_TEST(statements.size() == 2U);
}

// Guards against retries that multiply the load on a failing server.
BOOST_FIXTURE_TEST_CASE(but_not_without_retry_budget, group_fixture)
{
    state.budget.available = 0;
    arrive(write("w1", "key"));
    fail(only_statement(), true);
    BOOST_TEST((unknown("w1") == core::error_kind::connection_lost));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_the_primary_is_replaced)

BOOST_FIXTURE_TEST_CASE(an_unconfirmed_write_becomes_unknown, group_fixture)
{
    arrive(write("w1"));
    reply(only_statement(), {1, 11});
    deliver(view_changed{2, core::server_id{"b"}});
    BOOST_TEST((unknown("w1") == core::error_kind::fenced));
}

BOOST_FIXTURE_TEST_CASE(a_keyed_one_is_sent_to_the_new_primary, group_fixture)
{
    arrive(write("w1", "key"));
    reply(only_statement(), {1, 11});
    deliver(view_changed{2, core::server_id{"b"}});
    BOOST_REQUIRE(statements.size() == 2U);
    BOOST_TEST(statements[1].server.value == "b");
    reply(statements[1], {2, 12});
    status("b", {2, 2, 12, core::member_role::primary});
    status("c", {2, 2, 12});
    BOOST_TEST(completed("w1").at == (core::log_position{2, 12}));
}

// Guards against answering "not run" for a write that another owner may repeat.
BOOST_FIXTURE_TEST_CASE(a_keyed_one_is_unknown_if_another_host_owns_it,
                        group_fixture)
{
    deliver(ownership_changed{{{"a"}}});
    arrive(write("w1", "key"));
    reply(only_statement(), {1, 11});
    deliver(view_changed{2, core::server_id{"b"}});
    BOOST_TEST(unknown("w1").has_value());
}

BOOST_FIXTURE_TEST_CASE(a_refused_term_waits_for_the_new_view, group_fixture)
{
    arrive(write("w1"));
    reply_with_status(only_statement(), core::reply_status::wrong_term, {2, 0});
    BOOST_TEST(refresh_count == 1U);
    BOOST_TEST(answers.empty());
    deliver(view_changed{2, core::server_id{"b"}});
    BOOST_TEST(statements.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_read_reaches_the_owner_of_a_replica)

BOOST_FIXTURE_TEST_CASE(it_is_served_when_the_token_is_reached, group_fixture)
{
    arrive(read("r1", core::log_position{1, 10}), "b");
    reply(only_statement(), {1, 10});
    BOOST_TEST(completed("r1").server.value == "b");
}

// Guards against a session that does not read its own writes.
BOOST_FIXTURE_TEST_CASE(it_waits_for_the_token_then_is_redirected,
                        group_fixture)
{
    arrive(read("r1", core::log_position{1, 20}), "b");
    BOOST_TEST(statements.empty());
    advance(31ms);
    BOOST_TEST(redirected("r1").value == "a");
}

BOOST_FIXTURE_TEST_CASE(it_is_sent_once_the_replica_catches_up, group_fixture)
{
    arrive(read("r1", core::log_position{1, 20}), "b");
    status("b", {1, 1, 20});
    BOOST_TEST(statements.size() == 1U);
}

// Guards against returning a reply that became stale through a promotion.
BOOST_FIXTURE_TEST_CASE(a_reply_of_an_old_term_is_not_returned, group_fixture)
{
    arrive(read("r1"), "b");
    deliver(view_changed{2, core::server_id{"a"}});
    reply(only_statement(), {1, 10});
    BOOST_TEST(answers.empty());
}

// Guards against returning data whose age is not known to be within max_age.
BOOST_FIXTURE_TEST_CASE(data_of_unknown_age_is_too_old, group_fixture)
{
    auto request = read("r1");
    request.max_age = 100ms;
    advance(1s);
    arrive(request, "b");
    advance(31ms);
    BOOST_TEST(redirected("r1").value == "a");
}

// Guards against taking the reply to an earlier request on the same connection
// for the reply to this one.
BOOST_FIXTURE_TEST_CASE(a_reply_with_another_id_closes_the_connection,
                        group_fixture)
{
    arrive(read("r1"), "b");
    const auto sent = only_statement();
    core::backend_reply other;
    other.id = {"earlier"};
    other.at = {1, 10};
    deliver(reply_received{sent.dispatch, other});
    BOOST_TEST(closed_connections.count(sent.connection) == 1U);
    BOOST_TEST(answers.empty());
    advance(1s);
    BOOST_TEST(statements.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_caller_holds_a_transaction)

// Guards against running statements of two sessions on one connection.
BOOST_FIXTURE_TEST_CASE(its_connection_serves_no_other_request, group_fixture)
{
    const auto id = begin("t1");
    const auto connection = statements[0].connection;
    arrive(write("w1"));
    BOOST_TEST(statements[1].connection != connection);
    arrive(transaction_request("s1", core::access_mode::statement, id));
    BOOST_TEST(statements[2].connection == connection);
}

BOOST_FIXTURE_TEST_CASE(commit_waits_for_a_majority, group_fixture)
{
    const auto id = begin("t1");
    arrive(transaction_request("c1", core::access_mode::commit, id));
    reply(statements[1], {1, 12});
    BOOST_TEST(answers.count("c1") == 0U);
    status("c", {1, 1, 12});
    BOOST_TEST(completed("c1").at.position == 12U);
}

// Guards against a connection that stays occupied after its caller
// disconnected.
BOOST_FIXTURE_TEST_CASE(it_is_rolled_back_when_idle, group_fixture)
{
    const auto id = begin("t1");
    advance(10s);
    BOOST_REQUIRE(statements.size() == 2U);
    BOOST_TEST((statements[1].request.access == core::access_mode::rollback));
    reply(statements[1], {1, 10});
    arrive(transaction_request("s1", core::access_mode::statement, id));
    BOOST_TEST((not_run("s1") == core::error_kind::transaction_lost));
}

BOOST_AUTO_TEST_SUITE(and_loses_the_connection)

BOOST_FIXTURE_TEST_CASE(before_commit_nothing_ran, group_fixture)
{
    const auto id = begin("t1");
    arrive(transaction_request("s1", core::access_mode::statement, id));
    fail(statements[1], true);
    BOOST_TEST((not_run("s1") == core::error_kind::transaction_lost));
}

// Guards against answering "not run" for a commit that took effect.
BOOST_FIXTURE_TEST_CASE(after_commit_was_sent_the_outcome_is_unknown,
                        group_fixture)
{
    const auto id = begin("t1");
    arrive(transaction_request("c1", core::access_mode::commit, id));
    fail(statements[1], true);
    BOOST_TEST(unknown("c1").has_value());
    arrive(transaction_request("c2", core::access_mode::commit, id));
    BOOST_TEST(unknown("c2").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(a_promotion_ends_it, group_fixture)
{
    const auto id = begin("t1");
    deliver(view_changed{2, core::server_id{"b"}});
    BOOST_TEST(closed_connections.count(statements[0].connection) == 1U);
    arrive(transaction_request("s1", core::access_mode::statement, id));
    BOOST_TEST((not_run("s1") == core::error_kind::transaction_lost));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_server_is_leaving)

// Guards against new work on a server that is about to stop.
BOOST_FIXTURE_TEST_CASE(only_open_transactions_continue, group_fixture)
{
    const auto id = begin("t1");
    deliver(server_leaving{{"a"}, true});
    arrive(transaction_request("s1", core::access_mode::statement, id));
    BOOST_TEST(statements.size() == 2U);
    arrive(write("w1"));
    arrive(read("r1"), "a");
    BOOST_TEST(statements.size() == 2U);
    BOOST_TEST(redirects.count("r1") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(time_passes)

// Guards against overload in which requests sent too late occupy slots, cost
// connections and end with unknown outcomes.
BOOST_FIXTURE_TEST_CASE(a_request_that_cannot_finish_in_time_is_not_sent,
                        group_fixture)
{
    state.servers.at({"b"}).queue.service_time = 10ms;
    arrive(read("r0"), "b");
    auto request = read("r1");
    request.deadline = now + 19ms;
    arrive(request, "b");
    BOOST_TEST(statements.size() == 1U);
    advance(19ms);
    BOOST_TEST((not_run("r1") == core::error_kind::deadline_exceeded));
}

BOOST_FIXTURE_TEST_CASE(the_next_wakeup_is_the_earliest_limit, group_fixture)
{
    arrive(read("r1"), "b");
    const auto due = next_wakeup(state);
    BOOST_REQUIRE(due);
    BOOST_TEST((*due <= only_statement().reply_by));
}

// Guards against a request that is never answered.
BOOST_FIXTURE_TEST_CASE(an_unresponsive_connection_is_replaced, group_fixture)
{
    arrive(read("r1"), "b");
    const auto first = only_statement();
    advance(501ms);
    BOOST_TEST(closed_connections.count(first.connection) == 1U);
    advance(100ms);
    BOOST_REQUIRE(statements.size() == 2U);
    BOOST_TEST(statements[1].connection != first.connection);
}

BOOST_AUTO_TEST_SUITE_END()
