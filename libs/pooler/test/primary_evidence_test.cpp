#include "fixture.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::pooler;
using godwitbarrow::pooler::test::pooler_fixture;
using namespace std::chrono_literals;

namespace
{

constexpr auto limit = 900ms;

/// A platform whose replaced primary leads on. The host has just heard of the
/// primary through the claims in the store.
struct unfenced_fixture : pooler_fixture
{
    unfenced_fixture()
    {
        pooler_state.settings.evidence_limit = limit;
        post(claims_read{now, {}});
    }

    /// A replica answers a question that was begun now. The primary and the
    /// near replica are in the same data centre.
    void hear_replica(const std::string& id = "far", core::term_number term = 1)
    {
        post(replica_answered{group, {id}, now, {term, 5}});
    }

    void hear_replica_for(core::duration time)
    {
        for (const auto end = now + time; now < end;)
        {
            hear_replica();
            wait(300ms);
        }
    }

    bool sent_to_primary() const
    {
        for (const auto& it : all_of<send_to_member>())
            if (server_of(it.connection) == "primary")
                return true;
        return false;
    }
};

}  // namespace

// Reproduces scale-2 of hcta-booking with seed 56311212663: two hosts that were
// cut off together with the primary wrote to it while its successor led.
BOOST_AUTO_TEST_SUITE(where_a_replaced_primary_leads_on)

BOOST_AUTO_TEST_SUITE(a_host_that_hears_nothing_but_the_primary)

BOOST_FIXTURE_TEST_CASE(writes_to_it_until_the_evidence_expires,
                        unfenced_fixture)
{
    start(1, "newest");
    read_newest(1, {1, 5});
    now += limit - 1ms;
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(sent_to_primary());
    const auto c = sent().connection;
    succeed(c, {1, 6}, session_state::idle, "signed");
    now += 1ms;
    query(1, verb::write, "WRITE 1 y");
    BOOST_TEST(!sent_to_primary());
    wait(300ms);
    BOOST_TEST(!sent_to_primary());
    BOOST_TEST(outcome(1) == "busy");
    query(1, verb::write, "WRITE 1 z");
    BOOST_TEST(first_of<decision_note>()->message == "primary not confirmed");
}

// Guards against passing on a commit that followed the promotion.
BOOST_FIXTURE_TEST_CASE(doubts_a_commit_that_it_acknowledges_later,
                        unfenced_fixture)
{
    const auto c = open_transaction(1);
    query(1, verb::commit);
    BOOST_TEST(sent_to_primary());
    now += limit;
    succeed(c, {1, 6});
    BOOST_TEST(outcome(1) == "in doubt");
}

BOOST_FIXTURE_TEST_CASE(reads_nothing_from_it, unfenced_fixture)
{
    start(1, "newest");
    query(1, verb::read, "READ 1");
    const auto c = sent().connection;
    now += limit;
    succeed(c, {1, 5}, session_state::in_transaction);
    BOOST_TEST(outcome(1) == "busy");
    BOOST_TEST(pooler_state.groups.at(group).history.samples.empty());
}

// A held write was not sent, so that its transaction can still go on.
BOOST_FIXTURE_TEST_CASE(holds_the_writes_of_an_open_transaction,
                        unfenced_fixture)
{
    const auto c = open_transaction(1);
    now += limit;
    query(1, verb::write, "WRITE 1 y");
    BOOST_TEST(!sent_to_primary());
    hear_replica();
    wait(25ms);
    BOOST_TEST(sent_to_primary());
    succeed(c, {1, 5}, session_state::in_transaction, "signed");
    now += limit;
    query(1, verb::commit);
    wait(900ms);
    BOOST_TEST(outcome(1) == "aborted");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_host_that_another_member_answers)

// Guards against a store that is down for all and stops a healthy primary.
BOOST_FIXTURE_TEST_CASE(writes_on_without_the_store, unfenced_fixture)
{
    start(1, "newest");
    read_newest(1, {1, 5});
    hear_replica_for(3s);
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(server_of(sent().connection) == "primary");
}

BOOST_FIXTURE_TEST_CASE(stops_if_it_has_seen_a_newer_term, unfenced_fixture)
{
    start(1, "newest");
    read_newest(1, {1, 5});
    now += limit;
    hear_replica("far", 2);
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(!sent_to_primary());
}

// Guards against a data centre that is cut off as a whole: its replicas answer
// on and know of no successor.
BOOST_FIXTURE_TEST_CASE(stops_if_it_is_beside_the_primary, unfenced_fixture)
{
    start(1, "newest");
    read_newest(1, {1, 5});
    now += limit;
    hear_replica("near");
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(!sent_to_primary());
    hear_replica("far");
    BOOST_TEST(server_of(sent().connection) == "primary");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_host_that_is_connected_again)

// Guards against a claim that is too old to revoke the primary: it was replaced
// while the host was cut off.
BOOST_FIXTURE_TEST_CASE(takes_a_claim_against_the_primary_for_no_evidence,
                        unfenced_fixture)
{
    start(1, "newest");
    read_newest(1, {1, 5});
    now += limit;
    post(claims_read{now, {{group, {"primary"}, 7}}});
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(!sent_to_primary());
    post(claims_read{now, {}});
    BOOST_TEST(!sent_to_primary());
    hear_replica();
    BOOST_TEST(server_of(sent().connection) == "primary");
}

// Guards against members that refuse statements as busy and tell no term.
BOOST_FIXTURE_TEST_CASE(needs_a_position_of_another_member, unfenced_fixture)
{
    start(1, "newest");
    read_newest(1, {1, 5});
    connect_replicas();
    start(2, "bounded");
    query(2, verb::read, "READ 1");
    now += limit;
    fail(sent().connection, failure_code::busy);
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(!sent_to_primary());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_host_that_uses_the_primary)

// Guards against statements that wait for evidence on a healthy group.
BOOST_FIXTURE_TEST_CASE(asks_before_its_evidence_expires, unfenced_fixture)
{
    start(1, "newest");
    read_newest(1, {1, 5});
    query(1, verb::write, "WRITE 1 x");
    const auto c = sent().connection;
    wait(limit / 2);
    const auto asked = first_of<confirm_primary>();
    BOOST_REQUIRE(asked);
    BOOST_TEST(asked->ask.server.value == "far");
    BOOST_TEST(!asked->read_claims);
    wait(pooler_state.settings.evidence_interval);
    BOOST_TEST(first_of<confirm_primary>()->read_claims);
    post(claims_read{now, {}});
    wait(100ms);
    BOOST_TEST(!first_of<confirm_primary>().has_value());
    succeed(c, {1, 6}, session_state::idle, "signed");
    BOOST_TEST(outcome(1) == "success");
}

// Guards against evidence that is older than it looks: the store may hold a
// call for seconds.
BOOST_FIXTURE_TEST_CASE(counts_a_read_of_the_claims_from_its_begin,
                        unfenced_fixture)
{
    start(1, "newest");
    read_newest(1, {1, 5});
    now += limit;
    post(claims_read{now - limit, {}});
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(!sent_to_primary());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
