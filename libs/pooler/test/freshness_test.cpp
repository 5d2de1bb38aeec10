#include "fixture.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::pooler;
using godwitbarrow::pooler::test::pooler_fixture;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(a_read_of_the_newest_data)

// Guards against a read on a replaced primary that still answers.
BOOST_FIXTURE_TEST_CASE(runs_only_where_a_read_write_transaction_begins,
                        pooler_fixture)
{
    start(1, "newest");
    query(1, verb::read, "READ 1");
    const auto first = sent();
    BOOST_TEST(server_of(first.connection) == "primary");
    BOOST_REQUIRE_EQUAL(first.statements.size(), 1U);
    BOOST_TEST((first.statements[0].stmt.kind == verb::begin));
    succeed(first.connection, {1, 5}, session_state::in_transaction);
    const auto second = sent();
    BOOST_REQUIRE_EQUAL(second.statements.size(), 2U);
    BOOST_TEST((second.statements[0].stmt.kind == verb::read));
    BOOST_TEST((second.statements[1].stmt.kind == verb::rollback));
}

BOOST_FIXTURE_TEST_CASE(tries_another_member_if_the_first_is_not_the_primary,
                        pooler_fixture)
{
    start(1, "newest");
    query(1, verb::read, "READ 1");
    const auto first = sent();
    fail(first.connection, failure_code::read_only);
    const auto second = sent();
    BOOST_TEST(server_of(second.connection) != "primary");
    BOOST_TEST((second.statements[0].stmt.kind == verb::begin));
}

BOOST_FIXTURE_TEST_CASE(follows_a_member_that_registers_as_the_primary,
                        pooler_fixture)
{
    report("far", core::member_role::primary);
    start(1, "newest");
    query(1, verb::read, "READ 1");
    BOOST_TEST(server_of(sent().connection) == "far");
}

BOOST_FIXTURE_TEST_CASE(ignores_an_earlier_registration_of_a_replaced_primary,
                        pooler_fixture)
{
    post(primary_confirmed{group, {"near"}, true});
    publish();
    start(1, "newest");
    query(1, verb::read, "READ 1");
    BOOST_TEST(server_of(sent().connection) == "near");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_read_of_bounded_age)

BOOST_FIXTURE_TEST_CASE(runs_on_the_primary_if_no_position_is_known,
                        pooler_fixture)
{
    start(1, "bounded");
    query(1, verb::read, "READ 1");
    BOOST_TEST(server_of(sent().connection) == "primary");
}

BOOST_AUTO_TEST_SUITE(once_a_position_of_the_primary_is_known)

struct known_position : pooler_fixture
{
    known_position()
    {
        start(100, "newest");
        read_newest(100, {1, 5});
        connect_replicas();
    }
};

BOOST_FIXTURE_TEST_CASE(runs_on_the_local_replica_at_that_position,
                        known_position)
{
    start(1, "bounded");
    query(1, verb::read, "READ 1");
    const auto s = sent();
    BOOST_TEST(server_of(s.connection) == "near");
    BOOST_REQUIRE(s.statements.back().after);
    BOOST_TEST(*s.statements.back().after == (core::log_position{1, 5}));
}

// Guards against relying on a position that does not cover newer commits.
BOOST_FIXTURE_TEST_CASE(runs_on_the_primary_once_the_position_is_too_old,
                        known_position)
{
    now += 1450ms;
    start(1, "bounded");
    query(1, verb::read, "READ 1");
    BOOST_TEST(server_of(sent().connection) == "primary");
}

BOOST_FIXTURE_TEST_CASE(uses_the_oldest_position_that_is_recent_enough,
                        known_position)
{
    now += 500ms;
    read_newest(100, {1, 9});
    start(1, "bounded");
    query(1, verb::read, "READ 1");
    BOOST_TEST(*sent().statements.back().after == (core::log_position{1, 5}));
    now += 1s;
    start(2, "bounded");
    query(2, verb::read, "READ 1");
    BOOST_TEST(*sent().statements.back().after == (core::log_position{1, 9}));
}

BOOST_FIXTURE_TEST_CASE(skips_a_lagging_replica, known_position)
{
    start(1, "bounded");
    query(1, verb::read, "READ 1");
    const auto c = sent().connection;
    fail(c, failure_code::lagging);
    BOOST_TEST(server_of(sent().connection) == "far");
    start(2, "bounded");
    query(2, verb::read, "READ 2");
    BOOST_TEST(!reply(2));
    if (const auto s = first_of<send_to_member>())
        BOOST_TEST(server_of(s->connection) != "near");
}

// Replicas lag for seconds. Without an increasing back-off each read used up
// its attempts on lagging replicas while the primary was free.
BOOST_FIXTURE_TEST_CASE(backs_off_from_replicas_that_keep_lagging,
                        known_position)
{
    start(1, "bounded");
    query(1, verb::read, "READ 1");
    fail(sent().connection, failure_code::lagging);
    fail(sent().connection, failure_code::lagging);
    BOOST_TEST(server_of(sent().connection) == "primary");
    unsigned asked = 0;
    for (session_number n = 2; n < 42; ++n)
    {
        now += 25ms;
        start(n, "bounded");
        query(n, verb::read, "READ 1");
        while (const auto s = first_of<send_to_member>())
        {
            if (server_of(s->connection) == "primary")
                break;
            ++asked;
            fail(s->connection, failure_code::lagging);
        }
    }
    // Within 1 s: after 60, 180, 420, 660 and 900 ms, on each of two replicas.
    BOOST_TEST(asked <= 10U);
}

// Replicas lag while the primary is unavailable. Guards against reads that use
// up all their attempts on the same replica within milliseconds.
BOOST_FIXTURE_TEST_CASE(tries_no_replica_twice_while_the_primary_is_unavailable,
                        known_position)
{
    pooler_state.groups.at(group).members.at({"primary"}).failed_at = now;
    start(1, "bounded");
    query(1, verb::read, "READ 1");
    fail(sent().connection, failure_code::lagging);
    fail(sent().connection, failure_code::lagging);
    BOOST_TEST(!reply(1));
    BOOST_TEST(!first_of<send_to_member>());
    wait(50ms);
    BOOST_TEST(!first_of<send_to_member>());
    wait(75ms);
    BOOST_TEST(outcome(1) == "busy");
}

// Guards against waiting for a position of an older term, which may never be
// reached.
BOOST_FIXTURE_TEST_CASE(discards_positions_of_an_older_term, known_position)
{
    read_newest(100, {2, 4});
    now += 100ms;
    read_newest(100, {2, 4});
    start(1, "bounded");
    query(1, verb::read, "READ 1");
    BOOST_TEST(*sent().statements.back().after == (core::log_position{2, 4}));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_session_that_wrote)

// Guards against a session that does not see its own write.
BOOST_FIXTURE_TEST_CASE(reads_after_its_own_commit, pooler_fixture)
{
    start(100, "newest");
    read_newest(100, {1, 5});
    connect_replicas();
    start(1, "own");
    query(1, verb::write, "WRITE 1 x");
    const auto c = sent().connection;
    succeed(c, {1, 9}, session_state::idle, "s");
    query(1, verb::read, "READ 1");
    BOOST_TEST(*sent().statements.back().after == (core::log_position{1, 9}));
}

BOOST_FIXTURE_TEST_CASE(does_not_wait_for_a_lost_commit_of_a_replaced_primary,
                        pooler_fixture)
{
    start(1, "own");
    query(1, verb::write, "WRITE 1 x");
    succeed(sent().connection, {1, 9}, session_state::idle, "s");
    start(100, "newest");
    now += 100ms;
    read_newest(100, {2, 7});
    now += 2500ms;
    read_newest(100, {2, 8});
    query(1, verb::read, "READ 1");
    BOOST_TEST(*sent().statements.back().after == (core::log_position{2, 8}));
}

BOOST_AUTO_TEST_SUITE_END()
