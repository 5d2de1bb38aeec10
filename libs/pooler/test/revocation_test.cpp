#include "fixture.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::pooler;
using godwitbarrow::pooler::test::pooler_fixture;
using namespace std::chrono_literals;

namespace
{

struct revoking_fixture : pooler_fixture
{
    void revoke()
    {
        post(primary_revoked{group, {"primary"}});
    }

    /// Whether the last event contacted the revoked primary.
    bool uses_old_primary() const
    {
        for (const auto& it : all_of<open_connection>())
            if (it.server.value == "primary")
                return true;
        for (const auto& it : all_of<send_to_member>())
            if (server_of(it.connection) == "primary")
                return true;
        return false;
    }
};

}  // namespace

// Reproduces trouble-1 of hcta-booking-grown: hosts that still reached the old
// primary wrote to it after its successor had taken over.
BOOST_AUTO_TEST_SUITE(when_a_host_claims_to_replace_the_primary)

BOOST_AUTO_TEST_SUITE(statements_that_only_a_primary_may_run)

BOOST_FIXTURE_TEST_CASE(do_not_go_to_the_old_primary, revoking_fixture)
{
    start(1, "newest");
    read_newest(1, {1, 5});
    revoke();
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(!uses_old_primary());
    wait(75ms);
    BOOST_TEST(!uses_old_primary());
}

BOOST_FIXTURE_TEST_CASE(go_to_the_new_primary_once_it_is_known,
                        revoking_fixture)
{
    start(1, "newest");
    read_newest(1, {1, 5});
    revoke();
    post(primary_confirmed{group, {"near"}, true});
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(server_of(sent().connection) == "near");
}

// Guards against a statement whose BEGIN was answered before the revocation.
BOOST_FIXTURE_TEST_CASE(are_not_sent_after_a_begin_on_the_old_primary,
                        revoking_fixture)
{
    start(1, "newest");
    query(1, verb::read, "READ 1");
    const auto c = sent().connection;
    revoke();
    succeed(c, {1, 5}, session_state::in_transaction);
    for (const auto& it : all_of<send_to_member>())
        for (const auto& q : it.statements)
            BOOST_TEST((q.stmt.kind != verb::read));
}

BOOST_FIXTURE_TEST_CASE(go_to_the_old_primary_again_if_the_claim_lapses,
                        revoking_fixture)
{
    start(1, "newest");
    read_newest(1, {1, 5});
    revoke();
    wait(pooler_state.settings.revocation_limit);
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(uses_old_primary());
}

// Guards against an old primary that was cut off and still calls itself one.
BOOST_FIXTURE_TEST_CASE(do_not_return_to_it_once_another_member_leads,
                        revoking_fixture)
{
    start(1, "newest");
    revoke();
    report("near", core::member_role::primary);
    wait(pooler_state.settings.revocation_limit);
    report("primary", core::member_role::primary);
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(!uses_old_primary());
}

// Guards against an old primary whose registration expired while it was cut
// off.
BOOST_FIXTURE_TEST_CASE(do_not_return_to_it_when_it_registers_again,
                        revoking_fixture)
{
    start(1, "newest");
    revoke();
    report("near", core::member_role::primary);
    auto old = registration_of("primary");
    members.erase(members.begin());
    publish();
    old.version = ++registered;
    members.push_back(old);
    publish();
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(!uses_old_primary());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_transaction_on_the_old_primary)

BOOST_FIXTURE_TEST_CASE(is_aborted_if_it_has_written, revoking_fixture)
{
    open_transaction(1);
    revoke();
    query(1, verb::commit);
    BOOST_TEST(outcome(1) == "aborted");
    for (const auto& it : all_of<send_to_member>())
        for (const auto& q : it.statements)
            BOOST_TEST((q.stmt.kind != verb::commit));
}

// Guards against a commit that waited for a busy member and is repeated later.
BOOST_FIXTURE_TEST_CASE(is_aborted_while_its_commit_waits, revoking_fixture)
{
    const auto c = open_transaction(1);
    query(1, verb::commit);
    fail(c, failure_code::busy, session_state::in_transaction);
    revoke();
    wait(25ms);
    BOOST_TEST(outcome(1) == "aborted");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_write_that_the_old_primary_acknowledges)

BOOST_FIXTURE_TEST_CASE(at_once_succeeds, revoking_fixture)
{
    start(1, "newest");
    query(1, verb::write, "WRITE 1 x");
    const auto c = sent().connection;
    revoke();
    succeed(c, {1, 6}, session_state::idle, "signed");
    BOOST_TEST(outcome(1) == "success");
}

BOOST_FIXTURE_TEST_CASE(late_is_in_doubt, revoking_fixture)
{
    start(1, "newest");
    query(1, verb::write, "WRITE 1 x");
    const auto c = sent().connection;
    revoke();
    wait(pooler_state.settings.revoked_commit_limit);
    succeed(c, {1, 6}, session_state::idle, "signed");
    BOOST_TEST(outcome(1) == "in doubt");
}

// Guards against a second claim that restarts the time in which commits count.
BOOST_FIXTURE_TEST_CASE(late_is_in_doubt_although_a_claim_was_renewed,
                        revoking_fixture)
{
    start(1, "newest");
    query(1, verb::write, "WRITE 1 x");
    const auto c = sent().connection;
    revoke();
    wait(pooler_state.settings.revoked_commit_limit);
    revoke();
    succeed(c, {1, 6}, session_state::idle, "signed");
    BOOST_TEST(outcome(1) == "in doubt");
}

BOOST_FIXTURE_TEST_CASE(after_another_member_leads_is_in_doubt,
                        revoking_fixture)
{
    const auto c = open_transaction(1);
    query(1, verb::commit);
    revoke();
    report("near", core::member_role::primary);
    succeed(c, {1, 6}, session_state::idle, "signed");
    BOOST_TEST(outcome(1) == "in doubt");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_claim_of_a_group_is_not_settled)

struct settling_fixture : revoking_fixture
{
    void settle(std::uint64_t token, std::optional<core::server_id> server)
    {
        post(primary_settled{group, token, std::move(server), false});
    }
};

// Guards against a commit at a member that an order promoted late, while one
// that keeps the old primary may still take effect (review case 13).
BOOST_FIXTURE_TEST_CASE(no_member_is_used_as_the_primary, settling_fixture)
{
    start(1, "newest");
    read_newest(1, {1, 5});
    settle(5, std::nullopt);
    report("near", core::member_role::primary);
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(all_of<send_to_member>().empty());
    wait(75ms);
    BOOST_TEST(all_of<send_to_member>().empty());
}

BOOST_FIXTURE_TEST_CASE(the_settled_one_is_used_once_it_is, settling_fixture)
{
    start(1, "newest");
    read_newest(1, {1, 5});
    settle(5, std::nullopt);
    settle(5, core::server_id{"near"});
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(server_of(sent().connection) == "near");
}

BOOST_FIXTURE_TEST_CASE(a_primary_that_was_kept_is_used_again, settling_fixture)
{
    start(1, "newest");
    read_newest(1, {1, 5});
    revoke();
    settle(5, std::nullopt);
    settle(6, core::server_id{"primary"});
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(server_of(sent().connection) == "primary");
}

// Guards against an older row that a restored store returns.
BOOST_FIXTURE_TEST_CASE(an_older_claim_changes_nothing, settling_fixture)
{
    start(1, "newest");
    read_newest(1, {1, 5});
    settle(5, std::nullopt);
    settle(4, core::server_id{"primary"});
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(all_of<send_to_member>().empty());
}

// Guards against a group that is not served any more after it was configured
// without synchronous replicas and another member was promoted.
BOOST_FIXTURE_TEST_CASE(any_is_used_after_a_claim_that_needs_no_settlement,
                        settling_fixture)
{
    start(1, "newest");
    settle(5, core::server_id{"primary"});
    post(primary_settled{group, 6, std::nullopt, true});
    report("near", core::member_role::primary);
    query(1, verb::write, "WRITE 1 x");
    BOOST_TEST(server_of(sent().connection) == "near");
}

BOOST_FIXTURE_TEST_CASE(a_late_commit_is_in_doubt, settling_fixture)
{
    start(1, "newest");
    query(1, verb::write, "WRITE 1 x");
    const auto c = sent().connection;
    settle(5, std::nullopt);
    wait(pooler_state.settings.revoked_commit_limit);
    settle(6, std::nullopt);
    succeed(c, {1, 6}, session_state::idle, "signed");
    BOOST_TEST(outcome(1) == "in doubt");
}

BOOST_AUTO_TEST_SUITE_END()
