#include "fixture.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::pooler;
using godwitbarrow::pooler::test::world;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(a_read_of_the_newest_data)

// Guards against a read on a primary that was replaced and still answers.
BOOST_FIXTURE_TEST_CASE(runs_only_where_a_plain_transaction_begins, world)
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

BOOST_FIXTURE_TEST_CASE(goes_on_to_another_member_if_the_first_does_not_lead,
                        world)
{
    start(1, "newest");
    query(1, verb::read, "READ 1");
    const auto first = sent();
    fail(first.connection, failure_code::read_only);
    const auto second = sent();
    BOOST_TEST(server_of(second.connection) != "primary");
    BOOST_TEST((second.statements[0].stmt.kind == verb::begin));
}

BOOST_FIXTURE_TEST_CASE(follows_a_member_that_registers_as_the_primary, world)
{
    report("far", core::member_role::primary);
    start(1, "newest");
    query(1, verb::read, "READ 1");
    BOOST_TEST(server_of(sent().connection) == "far");
}

BOOST_FIXTURE_TEST_CASE(ignores_what_a_replaced_primary_registered_before,
                        world)
{
    post(primary_confirmed{group, {"near"}, true});
    publish();
    start(1, "newest");
    query(1, verb::read, "READ 1");
    BOOST_TEST(server_of(sent().connection) == "near");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_read_of_bounded_age)

BOOST_FIXTURE_TEST_CASE(asks_the_primary_if_no_position_is_known, world)
{
    start(1, "bounded");
    query(1, verb::read, "READ 1");
    BOOST_TEST(server_of(sent().connection) == "primary");
}

BOOST_AUTO_TEST_SUITE(after_the_position_of_the_primary_was_seen)

struct informed_world : world
{
    informed_world()
    {
        start(100, "newest");
        read_newest(100, {1, 5});
        warm_replicas();
    }
};

BOOST_FIXTURE_TEST_CASE(runs_on_the_near_replica_after_that_position,
                        informed_world)
{
    start(1, "bounded");
    query(1, verb::read, "READ 1");
    const auto s = sent();
    BOOST_TEST(server_of(s.connection) == "near");
    BOOST_REQUIRE(s.statements.back().after);
    BOOST_TEST(*s.statements.back().after == (core::log_position{1, 5}));
}

// Guards against a position that says nothing about newer commits.
BOOST_FIXTURE_TEST_CASE(asks_the_primary_once_the_position_is_too_old,
                        informed_world)
{
    now += 1450ms;
    start(1, "bounded");
    query(1, verb::read, "READ 1");
    BOOST_TEST(server_of(sent().connection) == "primary");
}

BOOST_FIXTURE_TEST_CASE(uses_the_oldest_position_that_is_recent_enough,
                        informed_world)
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

BOOST_FIXTURE_TEST_CASE(passes_over_a_replica_that_lags, informed_world)
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

// Replays a replica that lags for seconds. Without a growing pause each read
// lost its attempts between lagging replicas while the primary was free.
BOOST_FIXTURE_TEST_CASE(asks_replicas_that_keep_lagging_less_and_less,
                        informed_world)
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
    // In 1 s: after 60, 180, 420, 660 and 900 ms, at each of two replicas.
    BOOST_TEST(asked <= 10U);
}

// Replays lagging replicas while the primary is away: reads lost all their
// attempts to the same replica within milliseconds.
BOOST_FIXTURE_TEST_CASE(asks_no_replica_twice_while_the_primary_is_away,
                        informed_world)
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

// Guards against positions of an older term, which may never be reached.
BOOST_FIXTURE_TEST_CASE(forgets_positions_of_an_older_term, informed_world)
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

// Guards against a session that does not read its own write.
BOOST_FIXTURE_TEST_CASE(reads_after_its_own_commit, world)
{
    start(100, "newest");
    read_newest(100, {1, 5});
    warm_replicas();
    start(1, "own");
    query(1, verb::write, "WRITE 1 x");
    const auto c = sent().connection;
    succeed(c, {1, 9}, session_state::idle, "s");
    query(1, verb::read, "READ 1");
    BOOST_TEST(*sent().statements.back().after == (core::log_position{1, 9}));
}

BOOST_FIXTURE_TEST_CASE(does_not_wait_for_a_commit_of_a_replaced_primary, world)
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
