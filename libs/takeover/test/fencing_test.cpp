#include "host.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::takeover;
using godwitbarrow::takeover::test::host;
using namespace std::chrono_literals;

namespace
{

using names = std::set<std::string>;

/// A group that acknowledges a commit once one replica has received it.
struct synchronous_host : host
{
    synchronous_host()
    {
        view.synchronous_replicas = 1;
    }

    /// The claim of this host as the store returns it.
    rows_read own_claim() const
    {
        auto rows = rows_with_votes(0);
        rows.last_claim =
            claim{next_claim_token, settings.self, {"a"}, store_time - 500ms};
        return rows;
    }

    /// Goes through the pause after a comparison that came to nothing, up to
    /// the next log position of the primary.
    void compare_again(std::uint64_t primary_position)
    {
        advance_clock(settings.retry_delay);
        BOOST_REQUIRE(first_action<read_rows>());
        handle(own_claim());
        BOOST_REQUIRE(first_action<ask_member>());
        BOOST_TEST(first_action<ask_member>()->server.value == "a");
        answer("a", primary_position, core::member_role::primary);
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(the_primary_of_a_group_with_synchronous_replicas)

BOOST_AUTO_TEST_SUITE(is_fenced_before_it_is_replaced)

// Guards against commits that the old primary acknowledges between the
// comparison of the replicas and the promotion, because a replica that joined
// meanwhile received them (review case 6).
BOOST_FIXTURE_TEST_CASE(by_revoking_it_before_any_replica_is_paused,
                        synchronous_host)
{
    observe(false, true);
    handle(rows_with_votes(0));
    handle(row_written{write_result::done, 10});
    BOOST_REQUIRE(first_action<revoke_primary>());
    BOOST_TEST(first_action<revoke_primary>()->server.value == "a");
    BOOST_TEST(pauses().empty());
    advance_clock(settings.revocation_delay);
    BOOST_TEST(pauses().empty());
    BOOST_REQUIRE(first_action<ask_member>());
    BOOST_TEST(first_action<ask_member>()->server.value == "a");
    answer("a", 9, core::member_role::primary);
    BOOST_TEST(pauses().size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(by_each_host_that_sees_the_claim, synchronous_host)
{
    observe(false, true);
    handle(claim_observed{claim{5, {"host-2"}, {"a"}, store_time}});
    BOOST_REQUIRE(first_action<revoke_primary>());
    BOOST_TEST(first_action<revoke_primary>()->server.value == "a");
}

BOOST_FIXTURE_TEST_CASE(by_a_step_down_that_it_confirms, synchronous_host)
{
    claim_of_leaving(9);
    answer("b", 9);
    answer("c", 7);
    BOOST_TEST(!first_action<order_promotion>().has_value());
    BOOST_REQUIRE(first_action<ask_member>());
    BOOST_TEST(*first_action<ask_member>()->step_down_at == 5U);
    answer("a", 9);
    BOOST_REQUIRE(first_action<order_promotion>());
    BOOST_TEST(first_action<order_promotion>()->server.value == "b");
}

// Guards against a takeover that never ends on a platform whose primaries
// ignore the request.
BOOST_FIXTURE_TEST_CASE(by_the_delay_alone_if_it_does_not_step_down,
                        synchronous_host)
{
    claim_of_leaving(9);
    answer("b", 9);
    answer("c", 7);
    answer("a", 9, core::member_role::primary);
    BOOST_TEST(!first_action<order_promotion>().has_value());
    advance_clock(settings.revocation_delay);
    BOOST_TEST(first_action<order_promotion>().has_value());
}

// Guards against losing what a replica receives that registers while the others
// are compared.
BOOST_FIXTURE_TEST_CASE(by_pausing_also_a_replica_that_joins_meanwhile,
                        synchronous_host)
{
    claim_of_leaving(9);
    answer("b", 9);
    view.candidates.push_back({"e"});
    handle(group_view_updated{view});
    BOOST_TEST(
        (pauses() == std::map<std::string, core::term_number>{{"e", 5}}));
    answer("c", 7);
    BOOST_TEST(!first_action<ask_member>().has_value());
    answer("e", 9);
    BOOST_TEST(first_action<ask_member>()->step_down_at.has_value());
}

// Guards against a group without a primary because the old one ended after the
// claim: no host sends it statements, so none reports it as unreachable.
BOOST_FIXTURE_TEST_CASE(for_a_limited_time_if_it_does_not_answer,
                        synchronous_host)
{
    observe(false, true);
    handle(rows_with_votes(0));
    handle(row_written{write_result::done, 10});
    advance_clock(settings.revocation_delay);
    for (unsigned n = 1; n < settings.max_primary_queries; ++n)
    {
        no_answer("a");
        BOOST_TEST(pauses().empty());
        advance_clock(settings.answer_timeout);
        BOOST_REQUIRE(first_action<ask_member>());
    }
    no_answer("a");
    answer("b", 9);
    answer("c", 7);
    BOOST_REQUIRE(first_action<order_promotion>());
    BOOST_TEST(first_action<order_promotion>()->server.value == "b");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(has_commits_that_its_registered_replicas_lack)

// Guards against losing commits that were acknowledged because a replica
// without a registration had received them (review case 7).
BOOST_FIXTURE_TEST_CASE(and_is_replaced_once_they_have_caught_up,
                        synchronous_host)
{
    claim_of_leaving(56);
    answer("b", 45);
    answer("c", 40);
    BOOST_TEST(!first_action<order_promotion>().has_value());
    BOOST_TEST((resumed() == names{"b", "c"}));
    compare_again(56);
    answer("b", 56);
    answer("c", 40);
    answer("a", 56);
    BOOST_REQUIRE(first_action<order_promotion>());
    BOOST_TEST(first_action<order_promotion>()->server.value == "b");
}

// Guards against commits that a host which does not see the claim sends after
// the comparison.
BOOST_FIXTURE_TEST_CASE(when_it_steps_down_and_leads_again, synchronous_host)
{
    view.leaving_members = {{"a"}};
    claim_of_leaving(45);
    answer("b", 45);
    answer("c", 40);
    answer("a", 56);
    BOOST_TEST(!first_action<order_promotion>().has_value());
    advance_clock(settings.retry_delay);
    handle(own_claim());
    answer("a", 56);
    answer("b", 45);
    answer("c", 40);
    BOOST_REQUIRE(first_action<order_promotion>());
    BOOST_TEST(first_action<order_promotion>()->server.value == "a");
}

// Guards against losing its commits after the host that had it step down was
// killed before the promotion (soak seed 723).
BOOST_FIXTURE_TEST_CASE(when_another_host_had_it_step_down, synchronous_host)
{
    observe(true);
    answer("a", 56);
    handle(rows_with_votes(3));
    handle(row_written{write_result::done, 10});
    await_revocation();
    BOOST_REQUIRE(first_action<ask_member>());
    BOOST_TEST(first_action<ask_member>()->server.value == "a");
    answer("a", 56);
    BOOST_TEST(pauses().size() == 3U);
    answer("b", 45);
    answer("c", 40);
    BOOST_TEST(!first_action<order_promotion>().has_value());
    answer("a", 56);
    BOOST_REQUIRE(first_action<order_promotion>());
    BOOST_TEST(first_action<order_promotion>()->server.value == "a");
}

// Guards against a group without a primary after the old one has stepped down
// and left.
BOOST_FIXTURE_TEST_CASE(and_is_replaced_without_them_once_it_has_left,
                        synchronous_host)
{
    claim_of_leaving(45);
    answer("b", 45);
    answer("c", 40);
    answer("a", 56);
    view.primary.reset();
    observe(true);
    advance_clock(settings.retry_delay);
    handle(own_claim());
    answer("b", 45);
    answer("c", 40);
    BOOST_REQUIRE(first_action<order_promotion>());
    BOOST_TEST(first_action<order_promotion>()->server.value == "b");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a host that asks the primary for its role without end after
// another host has promoted a replica.
BOOST_FIXTURE_TEST_CASE(is_left_alone_once_another_host_has_replaced_it,
                        synchronous_host)
{
    claim_of_leaving(9);
    answer("b", 9);
    answer("c", 9);
    now += settings.claim_ttl;
    answer("a", 9);
    BOOST_TEST(!first_action<order_promotion>().has_value());
    view.primary = core::server_id{"c"};
    view.candidates = {{"b"}};
    observe(false);
    advance_clock(settings.retry_delay);
    BOOST_REQUIRE(first_action<ask_member>());
    answer("c", 9, core::member_role::primary);
    stored = claim{stored->token + 1, {"host-2"}, {"a"}, store_time};
    stored->settled = {"c"};
    BOOST_REQUIRE(first_action<read_rows>());
    handle(stored_rows());
    BOOST_TEST(resumed().empty());
    advance_clock(settings.promotion_settle_time);
    BOOST_TEST(!is_active(state));
    advance_clock(settings.retry_delay);
    BOOST_TEST(!first_action<ask_member>().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
