#include "host.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::takeover;
using godwitbarrow::takeover::test::host;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(a_primary_that_this_host_cannot_reach)

BOOST_FIXTURE_TEST_CASE(is_asked_first, host)
{
    observe(true);
    BOOST_REQUIRE(first_action<ask_member>());
    answer("a", 7, core::member_role::primary);
    BOOST_REQUIRE(first_action<primary_known>());
    BOOST_TEST(!first_action<primary_known>()->promoted);
    BOOST_TEST(!is_active(state));
}

// Guards against replacing a primary that only one host cannot reach.
BOOST_FIXTURE_TEST_CASE(is_not_replaced_on_the_vote_of_one_host, host)
{
    confirm_unreachable();
    handle(rows_with_votes(0));
    BOOST_TEST(!first_action<write_claim>());
    const auto written = first_action<write_vote>();
    BOOST_REQUIRE(written);
    BOOST_TEST(written->row.suspect.value == "a");
    BOOST_TEST((written->row.unreachable_since == store_time - 700ms));
}

BOOST_FIXTURE_TEST_CASE(is_replaced_at_once_if_no_host_reaches_it, host)
{
    claim_takeover();
    BOOST_TEST(state.token == next_claim_token);
    BOOST_TEST(first_action<ask_member>().has_value());
}

// Guards against a promotion, which interrupts the whole group, when some hosts
// lose the primary only briefly.
BOOST_FIXTURE_TEST_CASE(is_replaced_later_if_half_of_the_hosts_reach_it, host)
{
    confirm_unreachable();
    handle(rows_with_votes(1));
    BOOST_TEST(!first_action<write_claim>());
    handle(row_written{write_result::done, 10});
    advance_clock(settings.retry_delay);
    no_answer("a");
    state.view.unreachable_for = 1100ms;
    auto rows = rows_with_votes(1);
    rows.votes.begin()->second.unreachable_since = store_time - 1100ms;
    handle(rows);
    BOOST_TEST(first_action<write_claim>().has_value());
}

BOOST_FIXTURE_TEST_CASE(is_not_replaced_for_votes_that_are_old, host)
{
    confirm_unreachable();
    auto rows = rows_with_votes(3);
    for (auto& v : rows.votes)
        v.second.renewed_at = store_time - 10s;
    handle(rows);
    BOOST_TEST(!first_action<write_claim>());
}

BOOST_FIXTURE_TEST_CASE(is_not_replaced_for_votes_against_another, host)
{
    confirm_unreachable();
    auto rows = rows_with_votes(3);
    for (auto& v : rows.votes)
        v.second.suspect = {"b"};
    handle(rows);
    BOOST_TEST(!first_action<write_claim>());
}

// Guards against redundant writes to the store.
BOOST_FIXTURE_TEST_CASE(is_voted_against_again_only_when_the_vote_is_due, host)
{
    confirm_unreachable();
    auto rows = rows_with_votes(0);
    rows.votes[settings.self] = {
        {"a"},
        store_time - 700ms,
        store_time - settings.vote_renewal_interval + 1ms};
    handle(rows);
    BOOST_TEST(!first_action<write_vote>());
    advance_clock(settings.retry_delay);
    no_answer("a");
    rows.votes[settings.self].renewed_at -= 1ms;
    handle(rows);
    BOOST_TEST(first_action<write_vote>().has_value());
}

// Guards against an outage that never ends because the other hosts are down
// too.
BOOST_FIXTURE_TEST_CASE(is_replaced_by_one_host_after_the_delay, host)
{
    confirm_unreachable();
    now += settings.solo_claim_delay;
    handle(rows_with_votes(0));
    BOOST_REQUIRE(first_action<write_claim>());
    BOOST_TEST(first_action<write_claim>()->row.token == next_claim_token);
}

// Guards against a primary that is never replaced after the clock of the store
// started anew.
BOOST_FIXTURE_TEST_CASE(is_replaced_despite_a_claim_of_an_earlier_clock, host)
{
    confirm_unreachable();
    auto rows = rows_with_votes(3);
    rows.last_claim->holder = {"host-2"};
    rows.last_claim->claimed_at = store_time + 60s;
    handle(rows);
    BOOST_TEST(first_action<write_claim>().has_value());
}

BOOST_FIXTURE_TEST_CASE(is_left_to_a_host_with_a_recent_claim, host)
{
    confirm_unreachable();
    auto rows = rows_with_votes(3);
    rows.last_claim->holder = {"host-2"};
    rows.last_claim->claimed_at = store_time - 500ms;
    handle(rows);
    BOOST_TEST(!first_action<write_claim>());
    BOOST_TEST(is_active(state));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_primary_that_is_leaving)

BOOST_FIXTURE_TEST_CASE(is_replaced_without_votes, host)
{
    observe(false, true);
    BOOST_REQUIRE(first_action<read_rows>());
    handle(rows_with_votes(0));
    BOOST_REQUIRE(first_action<write_claim>());
    BOOST_TEST(first_action<write_claim>()->row.token == next_claim_token);
}

BOOST_FIXTURE_TEST_CASE(is_not_replaced_by_a_member_that_leaves_too, host)
{
    view.candidates = {{"b"}};
    view.leaving_members = {{"a"}, {"c"}};
    observe(false, true);
    handle(rows_with_votes(0));
    handle(row_written{write_result::done, 10});
    answer("b", 3);
    BOOST_TEST(first_action<order_promotion>()->server.value == "b");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_old_primary_that_leads_on_after_a_promotion)

struct revoking_host : host
{
    revoking_host()
    {
        settings.revoke_before_promotion = true;
        view.newest_term = 3;
    }

    /// Claims the takeover of a leaving primary and compares the replicas.
    void choose_successor()
    {
        observe(false, true);
        handle(rows_with_votes(0));
        handle(row_written{write_result::done, 10});
        answer("b", 9);
        answer("c", 7);
    }
};

// Guards against writes that the old primary acknowledges after its successor
// has taken over (trouble-1 of hcta-booking-grown).
BOOST_FIXTURE_TEST_CASE(steps_down_before_the_promotion, revoking_host)
{
    choose_successor();
    BOOST_TEST(!first_action<order_promotion>().has_value());
    BOOST_REQUIRE(first_action<revoke_primary>());
    BOOST_TEST(first_action<revoke_primary>()->server.value == "a");
    const auto request = first_action<ask_member>();
    BOOST_REQUIRE(request);
    BOOST_TEST(request->server.value == "a");
    BOOST_TEST(*request->step_down_at == 4U);
    answer("a", 9);
    BOOST_REQUIRE(first_action<order_promotion>());
    BOOST_TEST(first_action<order_promotion>()->server.value == "b");
}

BOOST_FIXTURE_TEST_CASE(is_asked_again_if_its_term_was_higher, revoking_host)
{
    choose_successor();
    handle(member_answered{
        {"a"}, member_report{core::member_role::primary, 7, {7, 9}}});
    BOOST_TEST(!first_action<order_promotion>().has_value());
    BOOST_REQUIRE(first_action<ask_member>());
    BOOST_TEST(*first_action<ask_member>()->step_down_at == 8U);
}

// Guards against a takeover that never ends because the old primary is gone.
BOOST_FIXTURE_TEST_CASE(is_replaced_after_the_delay_if_it_does_not_answer,
                        revoking_host)
{
    claim_takeover();
    answer("b", 9);
    answer("c", 7);
    no_answer("a");
    BOOST_TEST(!first_action<order_promotion>().has_value());
    advance_clock(settings.revocation_delay);
    BOOST_TEST(first_action<order_promotion>().has_value());
}

// Reproduces soak seed 19 without fencing: the crashed primary came back
// between the order and the promotion, and a host that the store did not reach
// used it.
BOOST_FIXTURE_TEST_CASE(steps_down_if_it_comes_back_after_the_order,
                        revoking_host)
{
    claim_takeover();
    answer("b", 9);
    answer("c", 7);
    no_answer("a");
    advance_clock(settings.revocation_delay);
    BOOST_REQUIRE(first_action<order_promotion>());
    handle(promotion_answered{order_result::accepted});
    advance_clock(settings.step_down_interval);
    BOOST_REQUIRE(first_action<ask_member>());
    BOOST_TEST(first_action<ask_member>()->server.value == "a");
    BOOST_TEST(first_action<ask_member>()->step_down_at.has_value());
    answer("a", 9);
    advance_clock(settings.step_down_interval);
    BOOST_TEST(!first_action<ask_member>().has_value());
}

// Guards against a group without a primary after its old primary has stepped
// down and the first promotion was refused.
BOOST_FIXTURE_TEST_CASE(is_replaced_although_the_first_order_was_refused,
                        revoking_host)
{
    choose_successor();
    answer("a", 9);
    handle(promotion_answered{order_result::refused});
    view.primary.reset();
    observe(false);
    advance_clock(settings.retry_delay);
    auto rows = rows_with_votes(0);
    rows.last_claim =
        claim{next_claim_token, settings.self, {"a"}, store_time - 500ms};
    BOOST_REQUIRE(first_action<read_rows>());
    handle(rows);
    answer("b", 9);
    answer("c", 9);
    BOOST_REQUIRE(first_action<order_promotion>());
    BOOST_TEST(first_action<order_promotion>()->server.value == "c");
}

BOOST_AUTO_TEST_SUITE(while_another_host_claims_to_replace_it)

BOOST_FIXTURE_TEST_CASE(is_revoked_and_asked_to_step_down, revoking_host)
{
    observe(false);
    handle(claim_observed{claim{5, {"host-2"}, {"a"}, store_time}});
    BOOST_REQUIRE(first_action<revoke_primary>());
    BOOST_TEST(first_action<revoke_primary>()->server.value == "a");
    BOOST_REQUIRE(first_action<ask_member>());
    BOOST_TEST(*first_action<ask_member>()->step_down_at == 4U);
    BOOST_TEST(!is_active(state));
}

// Guards against a new connection of each host to a member that is leaving.
BOOST_FIXTURE_TEST_CASE(is_not_asked_by_every_host_if_it_is_leaving,
                        revoking_host)
{
    observe(false, true);
    handle(claim_observed{claim{5, {"host-2"}, {"a"}, store_time}});
    BOOST_TEST(first_action<revoke_primary>().has_value());
    BOOST_TEST(!first_action<ask_member>().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_order_of_an_old_claim)

// Guards against a lower token that reaches the platform after a higher one: a
// host that was frozen wakes up when another host may already have claimed.
BOOST_FIXTURE_TEST_CASE(is_not_sent_by_a_host_that_was_frozen, host)
{
    claim_takeover();
    answer("b", 7);
    now += settings.claim_ttl;
    answer("c", 7);
    BOOST_TEST(!first_action<order_promotion>().has_value());
}

BOOST_FIXTURE_TEST_CASE(is_not_repeated_without_an_answer, host)
{
    claim_takeover();
    answer("b", 7);
    answer("c", 7);
    BOOST_REQUIRE(first_action<order_promotion>());
    now += settings.claim_ttl - settings.promotion_timeout;
    handle(promotion_answered{order_result::unknown});
    BOOST_TEST(!first_action<order_promotion>().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
