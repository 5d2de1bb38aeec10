#include "host.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::takeover;
using godwitbarrow::takeover::test::host;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(a_claim)

// Guards against two holders of the same fencing token.
BOOST_FIXTURE_TEST_CASE(that_lost_a_conflict_promotes_nothing, host)
{
    confirm_unreachable();
    handle(rows_with_votes(3));
    handle(row_written{write_result::conflict, 0});
    BOOST_TEST(!first_action<ask_member>().has_value());
    BOOST_TEST(!first_action<order_promotion>().has_value());
}

// Guards against a host that takes each row of the stored claim for an older
// one, because it has tried to claim with a higher token: it never learned that
// the claim was settled (soak seed 45047).
BOOST_FIXTURE_TEST_CASE(that_lost_a_conflict_hides_no_stored_one, host)
{
    view.synchronous_replicas = 1;
    confirm_unreachable();
    const claim other{next_claim_token, {"host-2"}, {"a"}, store_time, true};
    handle(claim_observed{other, 10});
    handle(rows_with_votes(3));
    BOOST_REQUIRE(first_action<write_claim>());
    BOOST_TEST(first_action<write_claim>()->row.token > other.token);
    handle(row_written{write_result::conflict, 0});
    auto settled = other;
    settled.settled = {"b"};
    handle(claim_observed{settled, 11});
    BOOST_REQUIRE(first_action<use_primary>());
    BOOST_TEST(first_action<use_primary>()->server->value == "b");
}

BOOST_FIXTURE_TEST_CASE(whose_answer_was_lost_is_found_in_the_row, host)
{
    confirm_unreachable();
    auto rows = rows_with_votes(3);
    handle(rows);
    rows.last_claim = first_action<write_claim>()->row;
    handle(row_written{write_result::unknown, 0});
    advance_clock(settings.retry_delay);
    no_answer("a");
    handle(rows);
    BOOST_TEST(first_action<ask_member>().has_value());
}

BOOST_FIXTURE_TEST_CASE(is_retried_after_a_store_failure, host)
{
    confirm_unreachable();
    handle(store_failed{});
    BOOST_TEST(last_actions.empty());
    advance_clock(settings.retry_delay);
    BOOST_TEST(first_action<ask_member>().has_value());
}

BOOST_AUTO_TEST_SUITE(compares_the_replicas)

BOOST_FIXTURE_TEST_CASE(and_promotes_the_one_that_received_most, host)
{
    claim_takeover();
    answer("b", 7);
    BOOST_TEST(!first_action<order_promotion>().has_value());
    answer("c", 9);
    const auto order = first_action<order_promotion>();
    BOOST_REQUIRE(order);
    BOOST_TEST(order->server.value == "c");
    BOOST_TEST(order->token == next_claim_token);
    handle(promotion_answered{order_result::accepted});
    BOOST_TEST(first_action<primary_known>()->promoted);
}

BOOST_FIXTURE_TEST_CASE(and_does_not_wait_for_one_that_does_not_answer, host)
{
    claim_takeover();
    answer("b", 7);
    advance_clock(settings.answer_timeout);
    BOOST_TEST(first_action<order_promotion>()->server.value == "b");
}

BOOST_FIXTURE_TEST_CASE(and_stops_if_one_is_already_primary, host)
{
    claim_takeover();
    answer("b", 7, core::member_role::primary);
    answer("c", 7);
    BOOST_TEST(!first_action<order_promotion>().has_value());
    BOOST_TEST(first_action<primary_known>()->server.value == "b");
}

// Guards against losing a commit that only an unresponsive replica received.
BOOST_FIXTURE_TEST_CASE(and_needs_all_of_them_where_commits_are_synchronous,
                        host)
{
    view.synchronous_replicas = 1;
    claim_takeover();
    BOOST_REQUIRE(first_action<ask_member>()->pause_replication_at);
    answer("b", 7);
    advance_clock(settings.answer_timeout);
    BOOST_TEST(!first_action<order_promotion>().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(never_goes_below_an_acknowledged_commit)

// Reproduces soak seed 15: the leaving member alone had received the newest
// commits, which were acknowledged, and a member without them was promoted.
BOOST_FIXTURE_TEST_CASE(if_only_a_leaving_member_received_it, host)
{
    view.synchronous_replicas = 1;
    view.leaving_members = {{"d"}};
    claim_takeover();
    answer("b", 45);
    answer("c", 40);
    answer("d", 56);
    BOOST_REQUIRE(first_action<order_promotion>());
    BOOST_TEST(first_action<order_promotion>()->server.value == "d");
}

BOOST_FIXTURE_TEST_CASE(and_prefers_a_member_that_stays, host)
{
    view.synchronous_replicas = 1;
    view.leaving_members = {{"d"}};
    claim_takeover();
    answer("b", 56);
    answer("c", 40);
    answer("d", 56);
    BOOST_REQUIRE(first_action<order_promotion>());
    BOOST_TEST(first_action<order_promotion>()->server.value == "b");
}

// Guards against falling back to a member without the commit after the one that
// has it was refused.
BOOST_FIXTURE_TEST_CASE(if_the_member_that_has_it_was_refused, host)
{
    view.synchronous_replicas = 1;
    claim_takeover();
    answer("b", 45);
    answer("c", 56);
    handle(promotion_answered{order_result::refused});
    advance_clock(settings.retry_delay);
    no_answer("a");
    auto rows = rows_with_votes(3);
    rows.last_claim =
        claim{next_claim_token, settings.self, {"a"}, store_time - 500ms};
    handle(rows);
    answer("b", 45);
    answer("c", 56);
    BOOST_TEST(!first_action<order_promotion>().has_value());
}

// Guards against losing a commit that only an unreachable replica received. The
// program reports such a member as one without an answer.
BOOST_FIXTURE_TEST_CASE(if_a_member_that_may_have_it_does_not_answer, host)
{
    view.synchronous_replicas = 1;
    claim_takeover();
    answer("b", 45);
    no_answer("c");
    BOOST_TEST(!first_action<order_promotion>().has_value());
    advance_clock(settings.answer_timeout);
    BOOST_TEST(!first_action<order_promotion>().has_value());
}

BOOST_AUTO_TEST_SUITE(if_replicas_receive_on)

using pause_terms = std::map<std::string, core::term_number>;

struct releasing_host : host
{
    releasing_host()
    {
        view.synchronous_replicas = 1;
    }
};

// Guards against a pause that members ignore because its term is not above the
// newest one: the promoted replica then lacked commits that another replica had
// received and that were acknowledged (review case 1).
BOOST_FIXTURE_TEST_CASE(pauses_them_above_the_term_of_the_primary,
                        releasing_host)
{
    claim_of_leaving(40);
    BOOST_TEST((pauses() == pause_terms{{"b", 4}, {"c", 4}}));
}

BOOST_FIXTURE_TEST_CASE(pauses_them_again_above_the_term_that_they_report,
                        releasing_host)
{
    view.newest_term = 0;
    claim_takeover();
    answer("b", 45);
    BOOST_TEST((pauses() == pause_terms{{"b", 4}}));
    answer("c", 47);
    BOOST_TEST((pauses() == pause_terms{{"c", 4}}));
    BOOST_TEST(!first_action<order_promotion>().has_value());
    answer("b", 50);
    BOOST_TEST(!first_action<order_promotion>().has_value());
    answer("c", 49);
    BOOST_REQUIRE(first_action<order_promotion>());
    BOOST_TEST(first_action<order_promotion>()->server.value == "b");
}

BOOST_FIXTURE_TEST_CASE(pauses_all_again_if_one_reports_a_newer_term,
                        releasing_host)
{
    claim_of_leaving(40);
    answer("b", 45);
    newest_term = 5;
    paused.erase("c");
    answer("c", 47);
    BOOST_TEST((pauses() == pause_terms{{"b", 6}, {"c", 6}}));
    answer("c", 47);
    BOOST_TEST(!first_action<order_promotion>().has_value());
    answer("b", 45);
    answer("a", 47);
    BOOST_TEST(first_action<order_promotion>().has_value());
}

// Guards against replicas that are paused in turn without end, thousands of
// times a second: each pause raised the newest term that the members report, so
// that the pauses of the others counted as too old (soak seed 723).
BOOST_FIXTURE_TEST_CASE(settles_for_pauses_at_different_terms, releasing_host)
{
    claim_of_leaving(40);
    answer("b", 40);
    view.candidates.push_back({"e"});
    handle(group_view_updated{view});
    BOOST_TEST((pauses() == pause_terms{{"e", 5}}));
    answer("e", 40);
    BOOST_TEST(pauses().empty());
    answer("c", 40);
    BOOST_TEST(pauses().empty());
    BOOST_REQUIRE(first_action<ask_member>());
    BOOST_TEST(first_action<ask_member>()->step_down_at.has_value());
}

BOOST_FIXTURE_TEST_CASE(promotes_none_and_asks_each_once_a_term, releasing_host)
{
    claim_of_leaving(40);
    paused.clear();
    answer("b", 45);
    BOOST_TEST(pauses().empty());
    answer("c", 47);
    BOOST_TEST(pauses().empty());
    advance_clock(settings.answer_timeout);
    BOOST_TEST(!first_action<order_promotion>().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(repeats_an_order_that_was_not_answered, host)
{
    claim_takeover();
    answer("b", 7);
    answer("c", 7);
    const auto first = *first_action<order_promotion>();
    handle(promotion_answered{order_result::unknown});
    BOOST_TEST(first_action<order_promotion>()->server == first.server);
    BOOST_TEST(first_action<order_promotion>()->token == first.token);
}

BOOST_FIXTURE_TEST_CASE(is_not_used_again_after_a_refusal, host)
{
    claim_takeover();
    answer("b", 7);
    answer("c", 7);
    handle(promotion_answered{order_result::refused});
    BOOST_TEST(!first_action<order_promotion>().has_value());
    advance_clock(settings.retry_delay);
    no_answer("a");
    auto rows = rows_with_votes(3);
    rows.last_claim =
        claim{next_claim_token + 1, {"host-2"}, {"a"}, store_time - 100ms};
    handle(rows);
    BOOST_TEST(last_actions.empty());
}

BOOST_AUTO_TEST_SUITE_END()
