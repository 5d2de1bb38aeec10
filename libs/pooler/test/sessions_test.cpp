#include "fixture.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::pooler;
using godwitbarrow::pooler::test::pooler_fixture;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(a_caller_that_connects)

BOOST_FIXTURE_TEST_CASE(is_refused_if_no_route_has_its_database, pooler_fixture)
{
    post(caller_started{1, "elsewhere"});
    BOOST_REQUIRE(first_of<refuse_caller>());
    BOOST_TEST((first_of<refuse_caller>()->reason.code ==
                failure_code::unknown_database));
}

BOOST_FIXTURE_TEST_CASE(is_served_without_a_member_until_it_needs_one,
                        pooler_fixture)
{
    start(1, "newest");
    query(1, verb::set, "utf8", "encoding");
    BOOST_TEST(outcome(1) == "success");
    query(1, verb::prepare, "q2c", "s1", true);
    BOOST_TEST(outcome(1) == "success");
    BOOST_TEST(all_of<open_connection>().empty());
}

// Guards against a host that has just started and reports an existing database
// as unknown, because it has no configuration yet (hunt-feb2-39 of
// atlas-pergola).
BOOST_AUTO_TEST_CASE(is_refused_as_busy_while_there_is_no_configuration)
{
    pooler_fixture it;
    const auto known = it.pooler_state.active_configuration;
    it.pooler_state.active_configuration = {};
    it.start(1, "newest");
    it.query(1, verb::set, "utf8", "encoding");
    BOOST_TEST(it.outcome(1) == "success");
    it.query(1, verb::read, "READ 1");
    BOOST_TEST(it.outcome(1) == "busy");
    it.post(configuration_changed{known});
    it.query(1, verb::read, "READ 1");
    BOOST_TEST(!it.reply(1));
}

BOOST_AUTO_TEST_SUITE(and_begins_a_transaction)

// Guards against an empty transaction that holds a member connection.
BOOST_FIXTURE_TEST_CASE(holds_no_connection_before_its_first_statement,
                        pooler_fixture)
{
    start(1, "newest");
    query(1, verb::begin);
    BOOST_TEST((reply(1)->state == session_state::in_transaction));
    BOOST_TEST(all_of<open_connection>().empty());
    query(1, verb::rollback);
    BOOST_TEST((reply(1)->state == session_state::idle));
}

BOOST_FIXTURE_TEST_CASE(uses_one_connection_until_it_commits, pooler_fixture)
{
    start(1, "newest");
    query(1, verb::begin);
    query(1, verb::write, "WRITE 1 x");
    const auto begin = sent();
    BOOST_TEST((begin.statements.back().stmt.kind == verb::begin));
    succeed(begin.connection, {1, 5}, session_state::in_transaction);
    BOOST_TEST((sent().statements.back().stmt.kind == verb::write));
    succeed(begin.connection, {1, 5}, session_state::in_transaction, "s");
    BOOST_TEST(outcome(1) == "success");
    query(1, verb::commit);
    BOOST_TEST(sent().connection == begin.connection);
    succeed(begin.connection, {1, 6}, session_state::idle, "s");
    BOOST_TEST((reply(1)->state == session_state::idle));
}

BOOST_FIXTURE_TEST_CASE(does_not_share_its_connection_with_another_session,
                        pooler_fixture)
{
    start(1, "newest");
    start(2, "newest");
    query(1, verb::begin);
    query(1, verb::read, "READ 1");
    const auto first = sent().connection;
    succeed(first, {1, 5}, session_state::in_transaction);
    succeed(first, {1, 5}, session_state::in_transaction, "s");
    query(2, verb::read, "READ 2");
    BOOST_TEST(sent().connection != first);
}

BOOST_FIXTURE_TEST_CASE(
    is_aborted_at_the_next_statement_after_a_lost_connection, pooler_fixture)
{
    const auto c = open_transaction(1);
    post(member_connection_lost{c, std::nullopt, "reset"});
    BOOST_TEST(!reply(1));
    query(1, verb::write, "WRITE 2 y");
    BOOST_TEST(outcome(1) == "aborted");
    query(1, verb::read, "READ 1");
    BOOST_TEST(outcome(1) == "malformed");
    query(1, verb::rollback);
    BOOST_TEST((reply(1)->state == session_state::idle));
}

// Guards against a commit that is reported as successful although no member
// signed it.
BOOST_FIXTURE_TEST_CASE(cannot_commit_after_a_failed_statement, pooler_fixture)
{
    start(1, "newest");
    query(1, verb::begin);
    query(1, verb::write, "WRITE 1 x");
    const auto c = sent().connection;
    succeed(c, {1, 5}, session_state::in_transaction);
    fail(c, failure_code::failed, session_state::failed_transaction);
    BOOST_TEST(outcome(1) == "aborted");
    query(1, verb::commit);
    BOOST_TEST(outcome(1) == "aborted");
    BOOST_TEST((reply(1)->state == session_state::idle));
}

BOOST_FIXTURE_TEST_CASE(releases_its_connection_when_it_disconnects,
                        pooler_fixture)
{
    const auto c = open_transaction(1);
    post(caller_disconnected{1});
    BOOST_TEST((sent().statements.front().stmt.kind == verb::rollback));
    succeed(c, {1, 5});
    BOOST_TEST(
        (pooler_state.connections.at(c).phase == connection_phase::idle));
}

BOOST_FIXTURE_TEST_CASE(is_rolled_back_at_the_idle_limit, pooler_fixture)
{
    start(1, "newest");
    query(1, verb::begin);
    query(1, verb::read, "READ 1");
    const auto c = sent().connection;
    succeed(c, {1, 5}, session_state::in_transaction);
    succeed(c, {1, 5}, session_state::in_transaction, "s");
    wait(3100ms);
    BOOST_TEST((sent().statements.front().stmt.kind == verb::rollback));
    query(1, verb::commit);
    BOOST_TEST(outcome(1) == "aborted");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_change_of_the_route)

BOOST_FIXTURE_TEST_CASE(is_not_reverted_by_an_older_configuration,
                        pooler_fixture)
{
    configure(5);
    configuration older = pooler_state.active_configuration;
    older.version = 4;
    older.routes.clear();
    post(configuration_changed{older});
    start(1, "newest");
}

BOOST_FIXTURE_TEST_CASE(applies_to_the_next_transaction_only, pooler_fixture)
{
    start(1, "newest");
    query(1, verb::begin);
    configuration c = pooler_state.active_configuration;
    c.version = 2;
    c.routes.erase("newest");
    post(configuration_changed{c});
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(!reply(1));
    post(member_connection_lost{
        first_of<open_connection>()->connection, {}, "reset"});
    wait(1s);
    query(1, verb::rollback);
    query(1, verb::read, "READ 1");
    BOOST_TEST((failure_of(*reply(1))->code == failure_code::unknown_database));
}

BOOST_AUTO_TEST_SUITE_END()
