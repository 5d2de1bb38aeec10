#include "fixture.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::pooler;
using godwitbarrow::pooler::test::pooler_fixture;
using namespace std::chrono_literals;

namespace
{

struct owned_group : pooler_fixture
{
    owned_group()
    {
        registration_of("primary").slots = 40;
        publish();
        configure(2, 46);
    }

    void share(std::size_t owners, bool owned)
    {
        post(group_shares_changed{{{group, {owners, owned}}}});
    }

    /// Opens as many connections to the primary as this host may have.
    std::size_t open_all()
    {
        std::size_t out = 0;
        for (session_number n = 1; n <= 20; ++n)
        {
            start(n, "newest");
            query(n, verb::begin);
            query(n, verb::write, "WRITE 1 x");
            if (const auto it = first_of<open_connection>())
            {
                ++out;
                post(member_connected{it->connection, std::nullopt});
            }
        }
        return out;
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_group_that_some_hosts_serve)

// Guards against more connections than a member accepts: it refuses the hosts
// one after the other, and each tries again.
BOOST_FIXTURE_TEST_CASE(shares_the_connections_among_its_owners, owned_group)
{
    post(host_count_changed{59});
    share(3, true);
    const auto each = open_all();
    BOOST_TEST(each == 11U);
    // One more owner may be about to leave, and hosts that reach no owner use
    // one connection.
    BOOST_TEST(each * 4 <= 46U);
}

BOOST_FIXTURE_TEST_CASE(gives_other_hosts_one_connection, owned_group)
{
    share(3, false);
    BOOST_TEST(open_all() == 1U);
}

// Guards against callers that stay with one connection for ever because they
// came while no owner could be reached.
BOOST_FIXTURE_TEST_CASE(ends_idle_sessions_that_an_owner_can_serve, owned_group)
{
    start(1, "newest");
    share(3, false);
    wait(1s);
    BOOST_TEST(!first_of<close_caller>());
    post(group_shares_changed{{{group, {3, false, true}}}});
    wait(pooler_state.settings.shutdown_idle);
    BOOST_TEST(first_of<close_caller>().has_value());
}

BOOST_FIXTURE_TEST_CASE(is_shared_by_all_hosts_again, owned_group)
{
    post(host_count_changed{23});
    share(3, false);
    post(group_shares_changed{});
    BOOST_TEST(open_all() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_relayed_session)

struct relayed_session : pooler_fixture
{
    relayed_session()
    {
        post(caller_started{1, "newest", std::nullopt, true});
    }

    void drain()
    {
        post(relayed_sessions_draining{{1}, now});
    }
};

// Guards against a statement that reaches the owner just after it has ended
// the session: the entry host knows whether one is on its way.
BOOST_FIXTURE_TEST_CASE(is_left_to_the_entry_host_at_a_shutdown,
                        relayed_session)
{
    post(shutdown_started{});
    wait(500ms);
    BOOST_TEST(!first_of<close_caller>());
    wait(pooler_state.settings.relayed_shutdown_idle);
    BOOST_TEST(first_of<close_caller>().has_value());
}

BOOST_AUTO_TEST_SUITE(of_an_entry_host_that_is_stopping)

BOOST_FIXTURE_TEST_CASE(begins_no_transaction_late, relayed_session)
{
    drain();
    now += pooler_state.settings.shutdown_transactions;
    query(1, verb::begin);
    BOOST_TEST(outcome(1) == "busy");
    BOOST_TEST(first_of<close_caller>().has_value());
}

BOOST_FIXTURE_TEST_CASE(ends_its_transaction_after_half_of_the_grace,
                        pooler_fixture)
{
    const auto c = open_transaction(1);
    post(relayed_sessions_draining{{1}, now});
    BOOST_TEST(needs_ticks(pooler_state));
    wait(pooler_state.settings.shutdown_transactions);
    BOOST_REQUIRE(first_of<send_to_member>());
    BOOST_TEST(first_of<send_to_member>()->connection == c);
    query(1, verb::commit);
    BOOST_TEST(outcome(1) == "aborted");
}

BOOST_FIXTURE_TEST_CASE(leaves_other_sessions_alone, relayed_session)
{
    drain();
    start(2, "newest");
    wait(pooler_state.settings.relayed_shutdown_idle + 100ms);
    BOOST_TEST(open_sessions(pooler_state) == 1U);
    BOOST_TEST(is_ready(pooler_state));
    BOOST_TEST(!needs_ticks(pooler_state));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
