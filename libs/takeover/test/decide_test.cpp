#include "godwitbarrow/takeover/decide.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace godwitbarrow;
using namespace godwitbarrow::takeover;
using namespace std::chrono_literals;

namespace
{

/// One of four hosts, with its view of a group of three members.
struct host
{
    takeover_state state;
    takeover_settings settings;
    group_view view;
    core::time_point now{1000s};
    actions last_actions;
    std::chrono::milliseconds store_time{50000};
    /// Newest term of the group, which the members report.
    core::term_number newest_term = 3;
    /// Members that stopped receiving, and at which term.
    std::map<std::string, core::term_number> paused;

    host()
    {
        settings.self = {"host-1"};
        view.primary = core::server_id{"a"};
        view.candidates = {{"b"}, {"c"}};
        view.live_hosts = 4;
        view.newest_term = newest_term;
    }

    void handle(const event& input)
    {
        last_actions = decide(state, settings, input, now);
        for (const auto& a : last_actions)
            if (const auto* it = std::get_if<ask_member>(&a))
                pause_if_asked(*it);
    }

    /// A member ignores a pause at a term that is not above the newest one.
    void pause_if_asked(const ask_member& query)
    {
        if (query.pause_replication_at.value_or(0) > newest_term)
            paused[query.server.value] = *query.pause_replication_at;
    }

    void observe(bool unreachable, bool leaving = false)
    {
        view.unreachable = unreachable;
        view.unreachable_for = unreachable ? 700ms : 0ms;
        view.leaving = leaving;
        handle(group_view_updated{view});
    }

    template <class Action>
    std::optional<Action> first_action() const
    {
        for (const auto& a : last_actions)
            if (const auto* it = std::get_if<Action>(&a))
                return *it;
        return std::nullopt;
    }

    void answer(const std::string& id, std::uint64_t received,
                core::member_role role = core::member_role::replica)
    {
        handle(member_answered{
            {id},
            member_report{
                role, newest_term, {newest_term, received}, paused[id]}});
    }

    void no_answer(const std::string& id)
    {
        handle(member_answered{{id}, std::nullopt});
    }

    /// Rows with an expired claim and unexpired votes of other hosts, whose
    /// last answer from the primary is as old as that of this host.
    rows_read rows_with_votes(int others) const
    {
        rows_read rows;
        rows.last_claim = claim{4, {"host-9"}, {"z"}, store_time - 60s};
        rows.version = 9;
        rows.store_time = store_time;
        for (int n = 0; n < others; ++n)
            rows.votes[{"host-" + std::to_string(n + 2)}] = {
                {"a"}, store_time - 700ms, store_time - 100ms};
        return rows;
    }

    /// Makes the primary unreachable and advances to the read of the rows.
    void confirm_unreachable()
    {
        observe(true);
        BOOST_REQUIRE(first_action<ask_member>());
        no_answer("a");
        BOOST_REQUIRE(first_action<read_rows>());
    }

    /// Claims the takeover of a primary that no host can reach.
    void claim_takeover()
    {
        confirm_unreachable();
        handle(rows_with_votes(3));
        BOOST_REQUIRE(first_action<write_claim>());
        handle(row_written{write_result::done, 10});
    }

    void advance_clock(core::duration duration)
    {
        now += duration;
        handle(time_passed{});
    }
};

}  // namespace

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
    BOOST_TEST(state.token == 5U);
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
    BOOST_TEST(first_action<write_claim>()->row.token == 5U);
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
    BOOST_TEST(order->token == 5U);
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
    rows.last_claim = claim{5, settings.self, {"a"}, store_time - 500ms};
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

    /// Claims the takeover of a leaving primary, whose term is not asked for.
    void claim_of_leaving()
    {
        observe(false, true);
        handle(rows_with_votes(0));
        handle(row_written{write_result::done, 10});
    }

    /// Terms of the pauses that the last event asked for.
    pause_terms pauses() const
    {
        pause_terms out;
        for (const auto& a : last_actions)
            if (const auto* it = std::get_if<ask_member>(&a))
                if (it->pause_replication_at)
                    out[it->server.value] = *it->pause_replication_at;
        return out;
    }
};

// Guards against a pause that members ignore because its term is not above the
// newest one: the promoted replica then lacked commits that another replica had
// received and that were acknowledged (review case 1).
BOOST_FIXTURE_TEST_CASE(pauses_them_above_the_term_of_the_primary,
                        releasing_host)
{
    claim_of_leaving();
    BOOST_TEST((pauses() == pause_terms{{"b", 4}, {"c", 4}}));
}

BOOST_FIXTURE_TEST_CASE(pauses_them_again_above_the_term_that_they_report,
                        releasing_host)
{
    view.newest_term = 0;
    claim_of_leaving();
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
    claim_of_leaving();
    answer("b", 45);
    newest_term = 5;
    paused.erase("c");
    answer("c", 47);
    BOOST_TEST((pauses() == pause_terms{{"b", 6}, {"c", 6}}));
    answer("c", 47);
    BOOST_TEST(!first_action<order_promotion>().has_value());
    answer("b", 45);
    BOOST_TEST(first_action<order_promotion>().has_value());
}

BOOST_FIXTURE_TEST_CASE(promotes_none_and_asks_each_once_a_term, releasing_host)
{
    claim_of_leaving();
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
    rows.last_claim = claim{6, {"host-2"}, {"a"}, store_time - 100ms};
    handle(rows);
    BOOST_TEST(last_actions.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_primary_that_is_leaving)

BOOST_FIXTURE_TEST_CASE(is_replaced_without_votes, host)
{
    observe(false, true);
    BOOST_REQUIRE(first_action<read_rows>());
    handle(rows_with_votes(0));
    BOOST_REQUIRE(first_action<write_claim>());
    BOOST_TEST(first_action<write_claim>()->row.token == 5U);
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
    rows.last_claim = claim{5, settings.self, {"a"}, store_time - 500ms};
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

BOOST_AUTO_TEST_SUITE(replicas_that_were_paused)

struct pausing_host : host
{
    pausing_host()
    {
        view.synchronous_replicas = 1;
        claim_takeover();
        answer("b", 7);
        answer("c", 9);
        BOOST_REQUIRE(first_action<order_promotion>());
    }

    std::set<std::string> resumed() const
    {
        std::set<std::string> out;
        for (const auto& a : last_actions)
            if (const auto* it = std::get_if<ask_member>(&a))
                if (it->resume_replication)
                    out.insert(it->server.value);
        return out;
    }

    /// Shows `primary` as reachable after the settle time and confirms it.
    void confirm(const std::string& primary)
    {
        view.primary = core::server_id{primary};
        observe(false);
        advance_clock(settings.promotion_settle_time);
        BOOST_REQUIRE(first_action<ask_member>());
        answer(primary, 9, core::member_role::primary);
    }
};

// Reproduces soak seed 15: the member to promote ended before the promotion
// took effect and the old primary came back, but its replicas stayed paused, so
// no commit was acknowledged any more.
BOOST_FIXTURE_TEST_CASE(receive_again_from_an_old_primary_that_came_back,
                        pausing_host)
{
    handle(promotion_answered{order_result::accepted});
    confirm("a");
    BOOST_TEST((resumed() == std::set<std::string>{"b", "c"}));
    BOOST_TEST(!is_active(state));
}

BOOST_FIXTURE_TEST_CASE(receive_again_from_the_new_primary, pausing_host)
{
    handle(promotion_answered{order_result::accepted});
    confirm("c");
    BOOST_TEST((resumed() == std::set<std::string>{"b"}));
}

// Guards against commits of the old primary that a late promotion discards.
BOOST_FIXTURE_TEST_CASE(wait_for_an_order_that_may_still_take_effect,
                        pausing_host)
{
    settings.max_promotion_attempts = 1;
    handle(promotion_answered{order_result::unknown});
    confirm("a");
    BOOST_TEST(resumed().empty());
    advance_clock(settings.late_order_limit);
    answer("a", 9, core::member_role::primary);
    BOOST_TEST((resumed() == std::set<std::string>{"b", "c"}));
}

BOOST_AUTO_TEST_SUITE_END()
