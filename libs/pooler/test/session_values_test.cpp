#include <set>

#include "fixture.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::pooler;
using godwitbarrow::pooler::test::pooler_fixture;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(a_caller_that_connects)

BOOST_AUTO_TEST_SUITE(with_values_and_prepared_statements)

// Guards against a statement that runs with the session values of another
// caller.
BOOST_FIXTURE_TEST_CASE(has_them_on_each_connection, pooler_fixture)
{
    start(1, "newest");
    query(1, verb::set, "utf8", "encoding");
    query(1, verb::prepare, "q2c", "s1", true);
    query(1, verb::execute, "1 x", "s1");
    const auto first = sent();
    BOOST_REQUIRE_EQUAL(first.statements.size(), 2U);
    BOOST_TEST((first.statements[0].stmt.kind == verb::set));
    BOOST_TEST((first.statements[1].stmt.kind == verb::prepare));
    succeed(first.connection, {1, 5});
    BOOST_TEST(!first_of<send_to_member>());
    succeed(first.connection, {1, 5});
    const auto executed = first_of<send_to_member>();
    BOOST_REQUIRE(executed);
    BOOST_REQUIRE_EQUAL(executed->statements.size(), 1U);
    BOOST_TEST((executed->statements[0].stmt.kind == verb::execute));
    BOOST_TEST(first.statements[1].stmt.name ==
               executed->statements[0].stmt.name);
    succeed(first.connection, {1, 6}, session_state::idle, "s");
    BOOST_TEST(outcome(1) == "success");

    start(2, "newest");
    query(2, verb::write, "WRITE 1 x");
    const auto second = sent();
    BOOST_TEST(second.connection == first.connection);
    BOOST_TEST((second.statements.front().stmt.kind == verb::reset));
}

// Guards against a session whose values fill the memory of the host, and break
// each member connection that they are sent on.
BOOST_FIXTURE_TEST_CASE(stores_a_limited_size, pooler_fixture)
{
    start(1, "newest");
    const std::string large(std::size_t{1000} * 1000, 'x');
    query(1, verb::set, large, "a");
    BOOST_TEST(outcome(1) == "success");
    query(1, verb::prepare, large, "s1", true);
    BOOST_TEST(outcome(1) == "success");
    query(1, verb::set, large, "b");
    BOOST_TEST(outcome(1) == "too large");
    query(1, verb::set, large, "a");
    BOOST_TEST(outcome(1) == "success");
    query(1, verb::deallocate, "", "s1");
    BOOST_TEST(outcome(1) == "success");
    query(1, verb::set, large, "b");
    BOOST_TEST(outcome(1) == "success");
    query(1, verb::prepare, large, "s1", true);
    BOOST_TEST(outcome(1) == "too large");
}

BOOST_FIXTURE_TEST_CASE(does_not_conflict_with_names_of_other_callers,
                        pooler_fixture)
{
    start(1, "newest");
    start(2, "newest");
    query(1, verb::prepare, "shape-a", "s1", true);
    query(2, verb::prepare, "shape-b", "s1", true);
    query(1, verb::execute, "1 x", "s1");
    const auto first = sent();
    succeed(first.connection, {1, 5});
    succeed(first.connection, {1, 6}, session_state::idle, "s");
    BOOST_REQUIRE_EQUAL(outcome(1), "success");
    query(2, verb::execute, "1 x", "s1");
    const auto second = sent();
    BOOST_TEST(second.statements.back().stmt.name !=
               first.statements.back().stmt.name);
}

// Guards against memory that grows with the number of distinct shapes that
// callers send, and against two shapes that share a name.
BOOST_FIXTURE_TEST_CASE(shares_names_of_a_bounded_number_of_shapes,
                        pooler_fixture)
{
    pooler_state.settings.max_shared_shapes = 2;
    start(1, "newest");
    std::set<std::string> names;
    for (int n = 0; n < 6; ++n)
    {
        query(1, verb::prepare, "shape-" + std::to_string(n), "s1");
        names.insert(pooler_state.sessions.at(1).prepared.at("s1").member_name);
    }
    BOOST_TEST(pooler_state.shapes.size() == 2U);
    BOOST_TEST(names.size() == 6U);
}

BOOST_FIXTURE_TEST_CASE(prepares_again_a_statement_unknown_to_the_member,
                        pooler_fixture)
{
    start(1, "newest");
    query(1, verb::prepare, "q2c", "s1", true);
    query(1, verb::execute, "1 x", "s1");
    const auto c = sent().connection;
    succeed(c, {1, 5});
    fail(c, failure_code::unknown_statement);
    BOOST_TEST((sent().statements.front().stmt.kind == verb::prepare));
}

BOOST_AUTO_TEST_SUITE(that_a_member_refuses_to_set)

/// A session with a value, whose first write waits for it to be set.
struct refused_setup : pooler_fixture
{
    connection_number connection = 0;

    refused_setup()
    {
        start(1, "newest");
        query(1, verb::set, "t-1", "tenant");
        query(1, verb::write, "WRITE 1 x");
        const auto first = sent();
        connection = first.connection;
        BOOST_REQUIRE_EQUAL(first.statements.size(), 1U);
        BOOST_REQUIRE((first.statements[0].stmt.kind == verb::set));
    }

    /// Statements of the caller that the last event sent.
    std::size_t forwarded() const
    {
        std::size_t out = 0;
        for (const auto& it : all_of<send_to_member>())
            for (const auto& q : it.statements)
                out += q.id.value.empty() ? 0 : 1;
        return out;
    }
};

// Guards against a statement that runs with the values of another session, or
// with none, because the member was too busy to set those of its caller
// (review case 2).
BOOST_FIXTURE_TEST_CASE(sends_no_statement_and_tries_again, refused_setup)
{
    fail(connection, failure_code::busy);
    BOOST_TEST(forwarded() == 0U);
    BOOST_TEST(!pooler_state.connections.count(connection));
    BOOST_TEST(!reply(1));
    wait(50ms);
    const auto again = connect();
    BOOST_REQUIRE_EQUAL(again.statements.size(), 1U);
    BOOST_TEST((again.statements[0].stmt.kind == verb::set));
    succeed(again.connection, {1, 5});
    BOOST_TEST(forwarded() == 1U);
    succeed(again.connection, {1, 6}, session_state::idle, "s");
    BOOST_TEST(outcome(1) == "success");
}

// Guards against a write that is called in doubt although it was never sent.
BOOST_FIXTURE_TEST_CASE(is_refused_as_busy_if_it_stays_so, refused_setup)
{
    fail(connection, failure_code::busy);
    for (unsigned n = 1; n < pooler_state.settings.max_attempts; ++n)
    {
        wait(50ms);
        fail(connect().connection, failure_code::busy);
    }
    BOOST_TEST(outcome(1) == "busy");
}

BOOST_FIXTURE_TEST_CASE(sends_no_statement_of_a_caller_that_has_left,
                        refused_setup)
{
    post(caller_disconnected{1});
    succeed(connection, {1, 5});
    BOOST_TEST(forwarded() == 0U);
    BOOST_TEST(open_sessions(pooler_state) == 0U);
}

BOOST_FIXTURE_TEST_CASE(is_retried_if_the_connection_breaks, refused_setup)
{
    post(member_connection_lost{connection, std::nullopt, "reset"});
    BOOST_TEST(!reply(1));
    BOOST_TEST(forwarded() == 0U);
}

BOOST_FIXTURE_TEST_CASE(is_retried_if_the_member_does_not_answer, refused_setup)
{
    wait(pooler_state.settings.begin_timeout + 25ms);
    BOOST_TEST(!pooler_state.connections.count(connection));
    BOOST_TEST(!reply(1));
}

BOOST_AUTO_TEST_SUITE(inside_a_transaction)

/// A transaction whose caller sets a value after the first statement.
struct changed_value : pooler_fixture
{
    connection_number connection = 0;

    changed_value()
    {
        connection = open_transaction(1);
        query(1, verb::set, "t-1", "tenant");
        query(1, verb::write, "WRITE 2 x");
        BOOST_REQUIRE_EQUAL(sent().statements.size(), 1U);
        BOOST_REQUIRE((sent().statements[0].stmt.kind == verb::set));
    }
};

BOOST_FIXTURE_TEST_CASE(is_retried_on_the_same_connection, changed_value)
{
    fail(connection, failure_code::busy, session_state::in_transaction);
    BOOST_TEST(!first_of<send_to_member>());
    wait(25ms);
    const auto again = first_of<send_to_member>();
    BOOST_REQUIRE(again);
    BOOST_TEST(again->connection == connection);
    BOOST_REQUIRE_EQUAL(again->statements.size(), 1U);
    BOOST_TEST((again->statements[0].stmt.kind == verb::set));
    succeed(connection, {1, 5}, session_state::in_transaction);
    BOOST_REQUIRE(first_of<send_to_member>());
    BOOST_TEST(
        (first_of<send_to_member>()->statements[0].stmt.kind == verb::write));
}

BOOST_FIXTURE_TEST_CASE(aborts_it_if_the_member_failed_it, changed_value)
{
    fail(connection, failure_code::failed, session_state::failed_transaction);
    BOOST_TEST(outcome(1) == "aborted");
    BOOST_REQUIRE(first_of<send_to_member>());
    BOOST_TEST((first_of<send_to_member>()->statements[0].stmt.kind ==
                verb::rollback));
}

BOOST_FIXTURE_TEST_CASE(aborts_it_if_the_connection_breaks, changed_value)
{
    post(member_connection_lost{connection, std::nullopt, "reset"});
    BOOST_TEST(outcome(1) == "aborted");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
