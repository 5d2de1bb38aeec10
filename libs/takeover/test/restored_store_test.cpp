#include "host.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::takeover;
using godwitbarrow::takeover::test::host;
using namespace std::chrono_literals;

namespace
{

/// Fails the takeover of a host at the moment at which the store is restored
/// from a copy, which begins era 2.
struct host_of_first_era : host
{
    host_of_first_era()
    {
        store_era = 1;
        view.store_era = 1;
    }

    void restore_store()
    {
        store_era = 2;
        view.store_era = 2;
        handle(group_view_updated{view});
    }

    /// Reads rows in the next attempt.
    void read(const rows_read& rows)
    {
        advance_clock(settings.retry_delay);
        no_answer("a");
        BOOST_REQUIRE(first_action<read_rows>());
        handle(rows);
    }

    bool acts() const
    {
        return first_action<ask_member>() || first_action<order_promotion>() ||
               first_action<revoke_primary>();
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_store_that_was_restored_from_a_copy)

BOOST_AUTO_TEST_SUITE(during_a_claim)

// Guards against a claim whose condition names a version that was given out
// again: the row that it replaced may be the claim of another host.
BOOST_FIXTURE_TEST_CASE(lets_a_write_of_before_win_nothing, host_of_first_era)
{
    confirm_unreachable();
    handle(rows_with_votes(3));
    const auto claim = first_action<write_claim>()->row;
    store_era = 2;
    handle(row_written{write_result::done, 10, store_era});
    BOOST_TEST(!acts());
    auto rows = rows_with_votes(3);
    rows.last_claim = claim;
    read(rows);
    BOOST_TEST(!acts());
}

BOOST_FIXTURE_TEST_CASE(ends_the_comparison, host_of_first_era)
{
    claim_takeover();
    answer("b", 7);
    restore_store();
    answer("c", 9);
    BOOST_TEST(!first_action<order_promotion>().has_value());
}

// Guards against an order that is repeated while another host promotes another
// member under a claim of the new era.
BOOST_FIXTURE_TEST_CASE(repeats_no_order, host_of_first_era)
{
    claim_takeover();
    answer("b", 7);
    answer("c", 9);
    BOOST_REQUIRE(first_action<order_promotion>());
    restore_store();
    handle(promotion_answered{order_result::unknown});
    BOOST_TEST(!first_action<order_promotion>().has_value());
}

BOOST_FIXTURE_TEST_CASE(orders_nothing_after_the_revocation, host_of_first_era)
{
    settings.revoke_before_promotion = true;
    claim_takeover();
    answer("b", 7);
    answer("c", 9);
    BOOST_TEST((state.current_phase == phase::revoking));
    restore_store();
    advance_clock(settings.revocation_delay);
    BOOST_TEST(!first_action<order_promotion>().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(before_a_claim)

// Guards against two promotions at once: a host that has not seen the new era
// still acts on its claim, which the store has lost.
BOOST_FIXTURE_TEST_CASE(lets_it_wait_for_the_end_of_lost_ones,
                        host_of_first_era)
{
    confirm_unreachable();
    store_era = 2;
    handle(rows_with_votes(3));
    BOOST_TEST(!first_action<write_claim>().has_value());
    BOOST_TEST(first_action<write_vote>().has_value());
    handle(row_written{write_result::done, 10, store_era});
    now += settings.claim_ttl;
    read(rows_with_votes(3));
    BOOST_TEST(first_action<write_claim>().has_value());
}

// Guards against a fencing token that a lost claim has used.
BOOST_FIXTURE_TEST_CASE(chooses_a_token_above_all_that_were_used,
                        host_of_first_era)
{
    handle(claim_observed{claim{9, {"host-2"}, {"z"}, store_time, false, 1}, 30,
                          60s, 1});
    confirm_unreachable();
    auto rows = rows_with_votes(3);
    store_era = 2;
    rows.era = store_era;
    handle(rows);
    now += settings.claim_ttl;
    handle(row_written{write_result::done, 10, store_era});
    rows = rows_with_votes(3);
    rows.last_claim->era = 1;
    read(rows);
    const auto next = first_action<write_claim>();
    BOOST_REQUIRE(next);
    BOOST_TEST(next->row.token > 2 * tokens_per_era);
    BOOST_TEST(next->row.era == 2U);
}

BOOST_FIXTURE_TEST_CASE(writes_lost_votes_again, host_of_first_era)
{
    confirm_unreachable();
    auto rows = rows_with_votes(0);
    rows.votes[settings.self] = {{"a"}, store_time - 700ms, store_time - 100ms};
    handle(rows);
    BOOST_TEST(!first_action<write_vote>().has_value());
    store_era = 2;
    read(rows_with_votes(0));
    BOOST_TEST(first_action<write_vote>().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(returns_a_claim_of_before)

struct host_that_saw_two_claims : host_of_first_era
{
    const claim older{5, {"host-2"}, {"a"}, store_time, false, 1};

    host_that_saw_two_claims()
    {
        settings.revoke_before_promotion = true;
        handle(claim_observed{older, 20, 0ms, 1});
        BOOST_REQUIRE(first_action<revoke_primary>());
        handle(claim_observed{claim{6, {"host-3"}, {"b"}, store_time, true, 1},
                              21, 0ms, 1});
        handle(claim_observed{older, 20, 0ms, 2});
    }
};

// Guards against the revocation of a primary that was promoted since.
BOOST_FIXTURE_TEST_CASE(that_revokes_no_primary, host_that_saw_two_claims)
{
    BOOST_TEST(!first_action<revoke_primary>().has_value());
}

// Guards against replicas that stay paused because the mark was lost.
BOOST_FIXTURE_TEST_CASE(that_hides_no_paused_replicas, host_that_saw_two_claims)
{
    now +=
        settings.claim_ttl + settings.late_order_limit + settings.resume_spread;
    observe(false);
    BOOST_REQUIRE(first_action<ask_member>());
    answer("a", 9, core::member_role::primary);
    stored = older;
    store_era = 2;
    keep("a");
    end_settled_pauses();
    BOOST_TEST((resumed() == std::set<std::string>{"b", "c"}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
