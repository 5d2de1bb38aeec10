#include "fixture.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::pooler;
using godwitbarrow::pooler::test::pooler_fixture;
using namespace std::chrono_literals;

namespace
{

/// Opens all connections to the primary that the limits allow and keeps each
/// busy with a write.
struct saturated_primary : pooler_fixture
{
    std::vector<connection_number> running;
    session_number next = 1000;

    saturated_primary()
    {
        post(host_count_changed{1});
        for (int n = 0; n < 8; ++n)
            occupy();
    }

    void occupy()
    {
        start(++next, "newest");
        query(next, verb::write, "WRITE 1 x");
        while (const auto opened = first_of<open_connection>())
            post(member_connected{opened->connection, std::nullopt});
        if (const auto s = first_of<send_to_member>())
            running.push_back(s->connection);
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(connections_of_a_member)

BOOST_FIXTURE_TEST_CASE(are_shared_by_the_hosts, pooler_fixture)
{
    post(host_count_changed{4});
    for (session_number n = 1; n <= 6; ++n)
    {
        start(n, "newest");
        query(n, verb::write, "WRITE 1 x");
        while (const auto opened = first_of<open_connection>())
            post(member_connected{opened->connection, std::nullopt});
    }
    const auto& m = pooler_state.groups.at(group).members.at({"primary"});
    BOOST_TEST(m.connections.size() == 2U);
}

// Steady load on a primary in another data centre. With the limit for a local
// member, two concurrent statements and 50 ms of network latency limit a host
// to 40 statements per second.
BOOST_FIXTURE_TEST_CASE(carry_more_concurrent_statements_to_a_remote_member,
                        pooler_fixture)
{
    post(host_count_changed{4});
    configure(2, 64);
    report("primary", core::member_role::replica);
    report("far", core::member_role::primary);
    for (session_number n = 1; n <= 6; ++n)
    {
        start(n, "newest");
        query(n, verb::write, "WRITE 1 x");
        while (const auto opened = first_of<open_connection>())
            post(member_connected{opened->connection, std::nullopt});
    }
    const auto& g = pooler_state.groups.at(group);
    BOOST_TEST(g.members.at({"far"}).running == 4U);
}

// Load peak after a restart of all hosts. Guards against members whose slots
// are occupied by new connections while statements could run on the open ones.
BOOST_FIXTURE_TEST_CASE(are_opened_one_at_a_time, pooler_fixture)
{
    std::vector<connection_number> opened;
    for (session_number n = 1; n <= 6; ++n)
    {
        start(n, "newest");
        query(n, verb::write, "WRITE 1 x");
        for (const auto& it : all_of<open_connection>())
            opened.push_back(it.connection);
    }
    BOOST_REQUIRE_EQUAL(opened.size(), 1U);
    post(member_connected{opened.front(), std::nullopt});
    BOOST_TEST(all_of<send_to_member>().size() == 1U);
    BOOST_TEST(all_of<open_connection>().size() == 1U);
}

// Hosts are added under load. Guards against the first hosts keeping all
// connections, so that the members refuse those of the new hosts.
BOOST_FIXTURE_TEST_CASE(are_closed_when_hosts_are_added, saturated_primary)
{
    auto& m = pooler_state.groups.at(group).members.at({"primary"});
    BOOST_REQUIRE_EQUAL(m.connections.size(), 8U);
    post(host_count_changed{4});
    for (const auto c : running)
        succeed(c, {1, 6}, session_state::idle, "s");
    BOOST_TEST(m.connections.size() == 2U);
}

// Guards against members whose connection limit is used up by unused
// connections when all hosts lose power and reconnect.
BOOST_FIXTURE_TEST_CASE(are_closed_at_the_idle_limit, saturated_primary)
{
    for (const auto c : running)
        succeed(c, {1, 6}, session_state::idle, "s");
    wait(pooler_state.settings.idle_limit + 50ms);
    BOOST_TEST(pooler_state.connections.empty());
}

BOOST_FIXTURE_TEST_CASE(are_not_reopened_immediately_after_a_refusal,
                        pooler_fixture)
{
    start(1, "newest");
    query(1, verb::write, "WRITE 1 x");
    const auto c = first_of<open_connection>()->connection;
    post(member_connection_lost{
        c, failure{failure_code::too_many_connections, "full"}, "refused"});
    BOOST_TEST(all_of<open_connection>().empty());
    wait(250ms);
    start(2, "newest");
    query(2, verb::write, "WRITE 2 x");
    BOOST_TEST(all_of<open_connection>().empty());
    wait(75ms);
    BOOST_TEST(all_of<open_connection>().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_the_primary_is_saturated)

// A burst of deferred statements on top of urgent ones at a saturated primary.
BOOST_FIXTURE_TEST_CASE(urgent_statements_run_first, saturated_primary)
{
    start(1, "own");
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(!first_of<send_to_member>());
    start(2, "newest");
    query(2, verb::write, "WRITE 2 x");
    BOOST_TEST(!first_of<send_to_member>());
    succeed(running.front(), {1, 6}, session_state::idle, "s");
    const auto s = sent();
    BOOST_TEST(s.statements.back().id.value == "q2");
}

BOOST_FIXTURE_TEST_CASE(an_open_transaction_precedes_new_statements,
                        pooler_fixture)
{
    const auto c = open_transaction(1, "own");
    for (session_number n = 2; n < 12; ++n)
    {
        start(n, "newest");
        query(n, verb::write, "WRITE 1 x");
        while (const auto opened = first_of<open_connection>())
            post(member_connected{opened->connection, std::nullopt});
    }
    query(1, verb::write, "WRITE 2 y");
    BOOST_TEST(sent().connection == c);
}

// Burst of writes at a saturated primary whose statements take 40 ms, so that 8
// slots start 20 statements in 100 ms. Guards against queueing statements that
// cannot be served in time.
BOOST_FIXTURE_TEST_CASE(
    statements_that_cannot_start_in_time_are_refused_immediately,
    saturated_primary)
{
    now += 40ms;
    for (const auto c : std::vector<connection_number>(running))
        succeed(c, {1, 6}, session_state::idle, "s");
    running.clear();
    for (int n = 0; n < 8; ++n)
        occupy();
    unsigned refused = 0;
    for (session_number n = 1; n <= 40; ++n)
    {
        start(n, "newest");
        query(n, verb::write, "WRITE 1 x");
        if (!reply(n))
            continue;
        BOOST_TEST(outcome(n) == "busy");
        ++refused;
    }
    BOOST_TEST(refused >= 15U);
    BOOST_TEST(refused <= 25U);
}

BOOST_FIXTURE_TEST_CASE(statements_that_did_not_start_in_time_are_refused,
                        saturated_primary)
{
    start(1, "newest");
    query(1, verb::write, "WRITE 1 x");
    wait(75ms);
    BOOST_TEST(!reply(1));
    wait(50ms);
    BOOST_TEST(outcome(1) == "busy");
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_disconnects_is_removed_from_the_queue,
                        saturated_primary)
{
    start(1, "newest");
    query(1, verb::write, "WRITE 1 x");
    post(caller_disconnected{1});
    succeed(running.front(), {1, 6}, session_state::idle, "s");
    BOOST_TEST(!first_of<send_to_member>());
}

BOOST_FIXTURE_TEST_CASE(reads_of_bounded_age_run_on_replicas, pooler_fixture)
{
    start(100, "newest");
    read_newest(100, {1, 5});
    connect_replicas();
    for (session_number n = 1; n <= 8; ++n)
    {
        start(n, "newest");
        query(n, verb::write, "WRITE 1 x");
        while (const auto opened = first_of<open_connection>())
            post(member_connected{opened->connection, std::nullopt});
    }
    start(20, "bounded");
    query(20, verb::read, "READ 1");
    BOOST_TEST(server_of(sent().connection) == "near");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_member_that_is_leaving)

BOOST_FIXTURE_TEST_CASE(gets_no_new_reads, pooler_fixture)
{
    start(100, "newest");
    read_newest(100, {1, 5});
    connect_replicas();
    report("near", core::member_role::replica, true);
    start(1, "bounded");
    query(1, verb::read, "READ 1");
    BOOST_TEST(server_of(sent().connection) == "far");
}

BOOST_FIXTURE_TEST_CASE(serves_as_the_primary_until_its_limit, pooler_fixture)
{
    report("primary", core::member_role::primary, true);
    start(1, "newest");
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(server_of(sent().connection) == "primary");
    now += pooler_state.settings.leaving_primary_limit;
    start(2, "newest");
    query(2, verb::write, "WRITE 2 x");
    if (const auto opened = first_of<open_connection>())
        BOOST_TEST(opened->server.value != "primary");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(after_a_stall_of_the_host)

// First statements after the host was frozen for 700 ms. Guards against
// counting the stall as service time of the member: the estimated queueing time
// then exceeded the objective, and statements that a member could have run were
// refused.
BOOST_FIXTURE_TEST_CASE(statements_are_not_refused_because_of_the_stall,
                        pooler_fixture)
{
    post(host_count_changed{4});
    start(1, "newest");
    query(1, verb::write, "WRITE 1 x");
    const auto c = sent().connection;
    now += 700ms;
    succeed(c, {1, 6}, session_state::idle, "s");
    BOOST_TEST(outcome(1) == "success");
    for (session_number n = 2; n <= 5; ++n)
    {
        start(n, "newest");
        query(n, verb::write, "WRITE 1 x");
        BOOST_TEST(outcome(n) == "none");
    }
}

BOOST_AUTO_TEST_SUITE_END()
