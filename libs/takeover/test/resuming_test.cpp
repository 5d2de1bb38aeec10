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
    answer("b", 9);
    no_answer("c");
    confirm("a");
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
    BOOST_TEST((resumed() == std::set<std::string>{"c"}));
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
        handle(claim_observed{claim{5, {"host-2"}, {"a"}, store_time, true}, 7,
                              age});
    }

    /// Time after which the holder must have failed, if the old primary leads.
    core::duration holder_limit() const
    {
        return settings.claim_ttl + settings.late_order_limit +
               settings.resume_spread;
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
    BOOST_TEST((resumed() == std::set<std::string>{"b", "c"}));
    answer("b", 9);
    answer("c", 9);
    advance_clock(settings.promotion_settle_time);
    answer("a", 9, core::member_role::primary);
    BOOST_REQUIRE(first_action<clear_pauses>());
    BOOST_TEST(first_action<clear_pauses>()->expected_version == 7U);
    BOOST_TEST(first_action<clear_pauses>()->row.token == 5U);
    BOOST_TEST(!first_action<clear_pauses>()->row.replicas_paused);
    BOOST_TEST(!is_active(state));
}

BOOST_FIXTURE_TEST_CASE(receive_again_sooner_from_a_new_primary, observing_host)
{
    observe(false);
    observe_claim();
    view.candidates = {{"a"}, {"b"}};
    now += settings.claim_ttl + settings.promotion_settle_time +
           settings.resume_spread;
    confirm("c");
    BOOST_TEST((resumed() == std::set<std::string>{"a", "b"}));
}

BOOST_FIXTURE_TEST_CASE(receive_again_by_a_host_that_starts_later,
                        observing_host)
{
    observe(false);
    observe_claim(60s);
    confirm("a");
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

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
