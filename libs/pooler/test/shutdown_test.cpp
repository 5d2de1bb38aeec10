#include "fixture.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::pooler;
using godwitbarrow::pooler::test::pooler_fixture;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(a_shutdown)

BOOST_FIXTURE_TEST_CASE(
    disconnects_idle_callers_and_completes_running_statements, pooler_fixture)
{
    start(1, "newest");
    start(2, "newest");
    query(2, verb::write, "WRITE 1 x");
    const auto c = sent().connection;
    now += 100ms;
    post(shutdown_started{});
    BOOST_TEST(!is_ready(pooler_state));
    BOOST_REQUIRE_EQUAL(all_of<close_caller>().size(), 1U);
    BOOST_TEST(first_of<close_caller>()->session == 1U);
    succeed(c, {1, 6}, session_state::idle, "s");
    BOOST_TEST(outcome(2) == "success");
    wait(100ms);
    BOOST_TEST(open_sessions(pooler_state) == 0U);
}

// Guards against a statement that is accepted shortly before the process exits
// and whose answer is lost (trouble-2 --seed 205629482380 of
// kalima-pool-grown).
BOOST_FIXTURE_TEST_CASE(refuses_new_statements_shortly_before_exit,
                        pooler_fixture)
{
    start(1, "newest");
    post(shutdown_started{});
    now += pooler_state.settings.shutdown_statements - 1ms;
    query(1, verb::write, "WRITE 1 x");
    succeed(sent().connection, {1, 6}, session_state::idle, "s");
    now += 1ms;
    query(1, verb::write, "WRITE 2 x");
    BOOST_TEST(outcome(1) == "busy");
    BOOST_TEST(!first_of<send_to_member>());
}

// Guards against sessions of busy callers that stay open until the process
// exits and cuts them off. They were never idle long enough to be closed.
BOOST_FIXTURE_TEST_CASE(disconnects_callers_whose_statements_it_refuses,
                        pooler_fixture)
{
    start(1, "newest");
    post(shutdown_started{});
    now += pooler_state.settings.shutdown_statements;
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(outcome(1) == "busy");
    BOOST_REQUIRE(first_of<close_caller>());
    BOOST_TEST(first_of<close_caller>()->session == 1U);
    BOOST_TEST(open_sessions(pooler_state) == 0U);
}

BOOST_FIXTURE_TEST_CASE(lets_open_transactions_complete_within_the_limit,
                        pooler_fixture)
{
    const auto c = open_transaction(1);
    post(shutdown_started{});
    wait(2s);
    BOOST_TEST(open_sessions(pooler_state) == 1U);
    query(1, verb::commit);
    succeed(c, {1, 6}, session_state::idle, "s");
    BOOST_TEST(outcome(1) == "success");
    wait(100ms);
    BOOST_TEST(open_sessions(pooler_state) == 0U);
}

BOOST_AUTO_TEST_SUITE(with_a_transaction_that_has_sent_nothing)

struct deferred_transaction : pooler_fixture
{
    deferred_transaction()
    {
        start(1, "newest");
        query(1, verb::begin);
        post(shutdown_started{});
    }

    bool reaches_a_member() const
    {
        return first_of<open_connection>() || first_of<send_to_member>();
    }
};

// Guards against a first statement that is passed on so late that the process
// ends before its answer (review case 3).
BOOST_FIXTURE_TEST_CASE(ends_it_at_the_limit, deferred_transaction)
{
    wait(pooler_state.settings.shutdown_transactions);
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(outcome(1) == "aborted");
    BOOST_TEST(!reaches_a_member());
    query(1, verb::rollback);
    BOOST_TEST(outcome(1) == "success");
    wait(100ms);
    BOOST_TEST(open_sessions(pooler_state) == 0U);
}

BOOST_FIXTURE_TEST_CASE(ends_it_between_two_ticks_too, deferred_transaction)
{
    now += pooler_state.settings.shutdown_transactions;
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(outcome(1) == "aborted");
    BOOST_TEST(!reaches_a_member());
    query(1, verb::commit);
    BOOST_TEST(outcome(1) == "aborted");
}

BOOST_FIXTURE_TEST_CASE(serves_it_before, deferred_transaction)
{
    now += pooler_state.settings.shutdown_transactions - 1ms;
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(!reply(1));
    BOOST_TEST(reaches_a_member());
}

// Guards against a transaction that begins although its first statement would
// come too late. Another host can serve all of it.
BOOST_FIXTURE_TEST_CASE(refuses_new_ones_after_the_limit, deferred_transaction)
{
    start(2, "newest");
    now += pooler_state.settings.shutdown_transactions;
    query(2, verb::begin);
    BOOST_TEST(outcome(2) == "busy");
    BOOST_REQUIRE(first_of<close_caller>());
    BOOST_TEST(first_of<close_caller>()->session == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_transaction_whose_caller_never_pauses)

// Guards against a transaction that outlasts its limit because a statement of
// it runs whenever the limit is checked.
BOOST_FIXTURE_TEST_CASE(aborts_it_at_its_next_statement, pooler_fixture)
{
    const auto c = open_transaction(1);
    post(shutdown_started{});
    query(1, verb::write, "WRITE 2 x");
    now += pooler_state.settings.shutdown_transactions;
    succeed(c, {1, 5}, session_state::in_transaction, "signed");
    BOOST_REQUIRE_EQUAL(outcome(1), "success");
    query(1, verb::write, "WRITE 3 x");
    BOOST_TEST(outcome(1) == "aborted");
    BOOST_REQUIRE(first_of<send_to_member>());
    BOOST_TEST((first_of<send_to_member>()->statements[0].stmt.kind ==
                verb::rollback));
}

BOOST_FIXTURE_TEST_CASE(still_commits_it_while_statements_are_accepted,
                        pooler_fixture)
{
    const auto c = open_transaction(1);
    post(shutdown_started{});
    query(1, verb::write, "WRITE 2 x");
    now += pooler_state.settings.shutdown_transactions;
    succeed(c, {1, 5}, session_state::in_transaction, "signed");
    query(1, verb::commit);
    succeed(c, {1, 6}, session_state::idle, "signed");
    BOOST_TEST(outcome(1) == "success");
}

BOOST_FIXTURE_TEST_CASE(passes_on_no_commit_shortly_before_exit, pooler_fixture)
{
    const auto c = open_transaction(1);
    post(shutdown_started{});
    query(1, verb::write, "WRITE 2 x");
    now += pooler_state.settings.shutdown_statements;
    succeed(c, {1, 5}, session_state::in_transaction, "signed");
    query(1, verb::commit);
    BOOST_TEST(outcome(1) == "aborted");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_route_whose_statements_may_take_long)

struct slow_route : pooler_fixture
{
    slow_route()
    {
        allow(3s);
        start(1, "newest");
    }

    /// Sets the timeout of all routes.
    void allow(std::chrono::milliseconds timeout)
    {
        auto c = pooler_state.active_configuration;
        ++c.version;
        for (auto& [database, route] : c.routes)
            route.statement_timeout = timeout;
        post(configuration_changed{c});
    }

    void stop_and_wait(core::duration time)
    {
        post(shutdown_started{});
        now += time;
    }
};

// Guards against a statement that is passed on and not answered, because the
// process exits before the timeout of its route (review case 8).
BOOST_FIXTURE_TEST_CASE(refuses_what_may_outlast_the_process, slow_route)
{
    stop_and_wait(pooler_state.settings.shutdown_limit - 3s + 1ms);
    query(1, verb::read, "READ 1");
    BOOST_TEST(outcome(1) == "busy");
    BOOST_TEST(!first_of<open_connection>());
    BOOST_TEST(!first_of<send_to_member>());
}

BOOST_FIXTURE_TEST_CASE(accepts_what_ends_in_time, slow_route)
{
    stop_and_wait(pooler_state.settings.shutdown_limit - 3s);
    query(1, verb::write, "WRITE 1 x");
    succeed(sent().connection, {1, 6}, session_state::idle, "s");
    BOOST_TEST(outcome(1) == "success");
}

// Guards against a connection that ends under a statement which the caller sent
// right behind a refused one: it could not tell that this one did not run.
BOOST_FIXTURE_TEST_CASE(disconnects_refused_callers_once_they_pause, slow_route)
{
    stop_and_wait(3s);
    for (int n = 0; n < 3; ++n)
    {
        query(1, verb::write, "WRITE 1 x");
        BOOST_TEST(outcome(1) == "busy");
        BOOST_TEST(!first_of<close_caller>());
        wait(25ms);
    }
    wait(pooler_state.settings.shutdown_idle);
    BOOST_TEST(first_of<close_caller>().has_value());
    BOOST_TEST(open_sessions(pooler_state) == 0U);
}

// Guards against refusing all callers that the balancer still sends.
BOOST_FIXTURE_TEST_CASE(accepts_all_until_the_balancer_has_noticed, slow_route)
{
    allow(20s);
    stop_and_wait(pooler_state.settings.shutdown_notice - 1ms);
    query(1, verb::write, "WRITE 1 x");
    succeed(sent().connection, {1, 6}, session_state::idle, "s");
    BOOST_TEST(outcome(1) == "success");
}

// Guards against a statement that is running when the shutdown begins and is
// cut off without an answer when the process exits.
BOOST_FIXTURE_TEST_CASE(answers_what_runs_until_the_end, slow_route)
{
    allow(20s);
    query(1, verb::write, "WRITE 1 x");
    BOOST_REQUIRE(first_of<send_to_member>() || first_of<open_connection>());
    sent();
    post(shutdown_started{});
    wait(pooler_state.settings.shutdown_limit - 25ms);
    BOOST_TEST(!reply(1));
    wait(25ms);
    BOOST_TEST(outcome(1) == "in doubt");
}

BOOST_FIXTURE_TEST_CASE(aborts_a_late_commit_that_may_outlast_the_process,
                        slow_route)
{
    const auto c = open_transaction(2);
    post(shutdown_started{});
    query(2, verb::write, "WRITE 2 x");
    now += pooler_state.settings.shutdown_transactions;
    succeed(c, {1, 5}, session_state::in_transaction, "signed");
    query(2, verb::commit);
    BOOST_TEST(outcome(2) == "aborted");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
