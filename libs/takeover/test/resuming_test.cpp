#include "host.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::takeover;
using godwitbarrow::takeover::test::host;
using namespace std::chrono_literals;

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
    keep("a");
    end_settled_pauses();
    BOOST_TEST((resumed() == std::set<std::string>{"b", "c"}));
    answer("b", 9);
    answer("c", 9);
    advance_clock(settings.promotion_settle_time);
    BOOST_TEST(!is_active(state));
}

// Guards against a replica that stays paused because it could not be asked.
BOOST_FIXTURE_TEST_CASE(are_asked_until_they_receive_again, pausing_host)
{
    handle(promotion_answered{order_result::accepted});
    confirm("a");
    keep("a");
    end_settled_pauses();
    BOOST_TEST((resumed() == std::set<std::string>{"b", "c"}));
    answer("b", 9);
    no_answer("c");
    confirm("a");
    end_settled_pauses();
    BOOST_TEST((resumed() == std::set<std::string>{"c"}));
    answer("c", 9);
    advance_clock(settings.promotion_settle_time);
    BOOST_TEST(!is_active(state));
}

BOOST_FIXTURE_TEST_CASE(are_forgotten_once_they_have_left, pausing_host)
{
    handle(promotion_answered{order_result::accepted});
    view.candidates = {{"c"}};
    confirm("a");
    keep("a");
    end_settled_pauses();
    BOOST_TEST((resumed() == std::set<std::string>{"c"}));
}

BOOST_FIXTURE_TEST_CASE(receive_again_from_the_new_primary, pausing_host)
{
    handle(promotion_answered{order_result::accepted});
    confirm("c");
    end_settled_pauses();
    BOOST_TEST((resumed() == std::set<std::string>{"b"}));
}

BOOST_AUTO_TEST_SUITE(wait_for_an_order_that_was_not_answered)

struct unanswered_host : pausing_host
{
    unanswered_host()
    {
        settings.max_promotion_attempts = 1;
        handle(promotion_answered{order_result::unknown});
    }

    /// Lets the primary be confirmed again and again; returns whether replicas
    /// were resumed.
    bool resumes_within(core::duration time)
    {
        for (const auto end = now + time; now < end;)
        {
            advance_clock(settings.retry_delay);
            if (first_action<ask_member>())
                answer("a", 9, core::member_role::primary);
            if (!resumed().empty())
                return true;
            if (first_action<read_rows>())
                handle(store_failed{});
        }
        return false;
    }
};

// Guards against commits that are lost because an order is carried out after
// the replicas receive again: no wait makes it void (review case 13).
BOOST_FIXTURE_TEST_CASE(however_long_it_takes, unanswered_host)
{
    view.primary = core::server_id{"a"};
    observe(false);
    BOOST_TEST(!resumes_within(60s));
}

BOOST_FIXTURE_TEST_CASE(until_a_higher_token_was_accepted, unanswered_host)
{
    const auto before = state.token;
    confirm("a");
    keep("a");
    BOOST_TEST(state.token > before);
    end_settled_pauses();
    BOOST_TEST((resumed() == std::set<std::string>{"b", "c"}));
}

// Guards against an order for the present primary that is not answered either:
// it would promote that member again if the first one takes effect before it.
BOOST_FIXTURE_TEST_CASE(and_for_the_order_that_keeps_the_primary,
                        unanswered_host)
{
    confirm("a");
    handle(stored_rows());
    handle(row_written{write_result::done, stored_version, store_era});
    advance_clock(settings.revocation_delay);
    BOOST_REQUIRE(first_action<order_promotion>());
    const auto token = first_action<order_promotion>()->token;
    handle(promotion_answered{order_result::unknown});
    advance_clock(settings.retry_delay);
    answer("a", 9, core::member_role::primary);
    BOOST_TEST(resumed().empty());
    keep("a");
    BOOST_TEST(state.token > token);
    end_settled_pauses();
    BOOST_TEST((resumed() == std::set<std::string>{"b", "c"}));
}

// Guards against a host that was frozen between the read of the claim and the
// resume: another one may compare the paused replicas meanwhile.
BOOST_FIXTURE_TEST_CASE(and_a_claim_that_another_host_made_meanwhile,
                        unanswered_host)
{
    confirm("a");
    keep("a");
    BOOST_REQUIRE(first_action<read_rows>());
    const auto read = stored_rows();
    now += 10s;
    handle(read);
    BOOST_TEST(resumed().empty());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against two late orders of one token: the platform would carry out
// both, and the second one promotes a member that lacks commits.
BOOST_FIXTURE_TEST_CASE(stay_so_if_another_member_has_to_be_promoted,
                        pausing_host)
{
    settings.max_promotion_attempts = 1;
    handle(promotion_answered{order_result::unknown});
    const auto token = state.token;
    advance_clock(settings.retry_delay);
    no_answer("a");
    handle(stored_rows());
    advance_clock(settings.revocation_delay);
    no_answer("a");
    answer("b", 11);
    answer("c", 9);
    BOOST_TEST(!first_action<order_promotion>().has_value());
    advance_clock(settings.retry_delay);
    no_answer("a");
    auto rows = rows_with_votes(3);
    rows.last_claim = stored;
    rows.version = stored_version;
    handle(rows);
    BOOST_REQUIRE(first_action<write_claim>());
    BOOST_TEST(first_action<write_claim>()->row.token > token);
}

BOOST_AUTO_TEST_SUITE(by_a_host_that_has_failed)

/// A host that sees the claim of another.
struct observing_host : host
{
    observing_host()
    {
        view.synchronous_replicas = 1;
    }

    void observe_claim(std::chrono::milliseconds age = 0ms)
    {
        stored = claim{5, {"host-2"}, {"a"}, store_time, true};
        stored_version = 7;
        handle(claim_observed{*stored, stored_version, age});
    }

    /// Time after which the holder must have failed.
    core::duration holder_limit() const
    {
        return settings.claim_ttl + settings.resume_spread;
    }

    /// Confirms the primary that the host asks.
    void confirm(const std::string& primary)
    {
        view.primary = core::server_id{primary};
        observe(false);
        BOOST_REQUIRE(first_action<ask_member>());
        BOOST_TEST(first_action<ask_member>()->server.value == primary);
        answer(primary, 9, core::member_role::primary);
    }
};

// Guards against a group that acknowledges no commit any more: the host that
// paused the replicas was killed before it let them receive again (soak seed
// 715).
BOOST_FIXTURE_TEST_CASE(receive_again_by_another_host, observing_host)
{
    observe(false);
    observe_claim();
    now += holder_limit();
    confirm("a");
    BOOST_REQUIRE(first_action<failover_step>());
    BOOST_TEST(first_action<failover_step>()->name == "pauses adopted");
    BOOST_TEST(first_action<failover_step>()->detail ==
               "holder host-2 token 5");
    keep("a");
    end_settled_pauses();
    BOOST_TEST((resumed() == std::set<std::string>{"b", "c"}));
    answer("b", 9);
    answer("c", 9);
    advance_clock(settings.promotion_settle_time);
    answer("a", 9, core::member_role::primary);
    const auto version = stored_version;
    end_settled_pauses();
    BOOST_REQUIRE(first_action<clear_pauses>());
    BOOST_TEST(first_action<clear_pauses>()->expected_version == version);
    BOOST_TEST(first_action<clear_pauses>()->row.token > 5U);
    BOOST_TEST(first_action<clear_pauses>()->row.settled.value == "a");
    BOOST_TEST(!first_action<clear_pauses>()->row.replicas_paused);
    BOOST_TEST(!is_active(state));
}

BOOST_FIXTURE_TEST_CASE(receive_again_from_a_new_primary, observing_host)
{
    observe(false);
    observe_claim();
    view.candidates = {{"a"}, {"b"}};
    now += holder_limit();
    confirm("c");
    keep("c");
    end_settled_pauses();
    BOOST_TEST((resumed() == std::set<std::string>{"a", "b"}));
}

BOOST_FIXTURE_TEST_CASE(receive_again_by_a_host_that_starts_later,
                        observing_host)
{
    observe(false);
    observe_claim(60s);
    now += 60s;
    confirm("a");
    keep("a");
    end_settled_pauses();
    BOOST_TEST((resumed() == std::set<std::string>{"b", "c"}));
}

// Guards against resuming replicas while the holder of the claim compares them.
BOOST_FIXTURE_TEST_CASE(are_left_alone_while_it_may_live, observing_host)
{
    observe(false);
    observe_claim();
    now += settings.claim_ttl;
    observe(false);
    BOOST_TEST(last_actions.empty());
}

BOOST_FIXTURE_TEST_CASE(are_left_alone_once_the_mark_is_cleared, observing_host)
{
    observe(false);
    observe_claim();
    handle(claim_observed{claim{5, {"host-2"}, {"a"}, store_time}, 8});
    now += holder_limit();
    observe(false);
    BOOST_TEST(last_actions.empty());
}

// Guards against two hosts that end the pauses of one claim: its holder lets
// the promotion settle first.
BOOST_FIXTURE_TEST_CASE(are_left_alone_while_a_promotion_settles,
                        observing_host)
{
    observe(false);
    observe_claim();
    stored->settled = {"a"};
    handle(claim_observed{*stored, 8});
    now += settings.claim_ttl + settings.promotion_settle_time - 1ms;
    observe(false);
    BOOST_TEST(last_actions.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
