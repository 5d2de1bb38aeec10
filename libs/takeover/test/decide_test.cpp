#include "godwitbarrow/takeover/decide.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace godwitbarrow::takeover;
using namespace std::chrono_literals;

namespace
{

/// One of four hosts and its view of a group of three members.
struct host
{
    takeover_state state;
    takeover_settings settings;
    group_view view;
    core::time_point now{1000s};
    actions last;
    std::chrono::milliseconds store_time{50000};

    host()
    {
        settings.self = {"host-1"};
        view.primary = core::server_id{"a"};
        view.candidates = {{"b"}, {"c"}};
        view.live_hosts = 4;
    }

    void post(const event& what)
    {
        last = decide(state, settings, what, now);
    }

    void see(bool unreachable, bool leaving = false)
    {
        view.unreachable = unreachable;
        view.unreachable_for = unreachable ? 700ms : 0ms;
        view.leaving = leaving;
        post(group_view_updated{view});
    }

    template <class Action>
    std::optional<Action> first_of() const
    {
        for (const auto& a : last)
            if (const auto* it = std::get_if<Action>(&a))
                return *it;
        return std::nullopt;
    }

    void answer(const std::string& id, std::uint64_t received,
                core::member_role role = core::member_role::replica)
    {
        post(member_answered{{id}, member_report{role, 3, {3, received}}});
    }

    void no_answer(const std::string& id)
    {
        post(member_answered{{id}, std::nullopt});
    }

    /// An old claim, and fresh votes of hosts that the primary answered as long
    /// ago as this one.
    rows_read with_votes(int others) const
    {
        rows_read it;
        it.last_claim = claim{4, {"host-9"}, {"z"}, store_time - 60s};
        it.version = 9;
        it.store_time = store_time;
        for (int n = 0; n < others; ++n)
            it.votes[{"host-" + std::to_string(n + 2)}] = {
                {"a"}, store_time - 700ms, store_time - 100ms};
        return it;
    }

    /// Suspects the primary until the row is to be read.
    void suspect()
    {
        see(true);
        BOOST_REQUIRE(first_of<ask_member>());
        no_answer("a");
        BOOST_REQUIRE(first_of<read_rows>());
    }

    /// Claims the takeover of a primary that no host reaches.
    void take_over()
    {
        suspect();
        post(with_votes(3));
        BOOST_REQUIRE(first_of<write_claim>());
        post(row_written{write_result::done, 10});
    }

    void wait(core::duration time)
    {
        now += time;
        post(time_passed{});
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_primary_that_this_host_cannot_reach)

BOOST_FIXTURE_TEST_CASE(is_asked_first, host)
{
    see(true);
    BOOST_REQUIRE(first_of<ask_member>());
    answer("a", 7, core::member_role::primary);
    BOOST_REQUIRE(first_of<primary_known>());
    BOOST_TEST(!first_of<primary_known>()->promoted);
    BOOST_TEST(!is_active(state));
}

// Guards against the replacement of a primary that only one host cannot reach.
BOOST_FIXTURE_TEST_CASE(is_not_replaced_on_the_word_of_one_host, host)
{
    suspect();
    post(with_votes(0));
    BOOST_TEST(!first_of<write_claim>());
    const auto written = first_of<write_vote>();
    BOOST_REQUIRE(written);
    BOOST_TEST(written->row.suspect.value == "a");
    BOOST_TEST((written->row.since == store_time - 700ms));
}

BOOST_FIXTURE_TEST_CASE(is_replaced_at_once_if_no_host_reaches_it, host)
{
    take_over();
    BOOST_TEST(state.token == 5U);
    BOOST_TEST(first_of<ask_member>().has_value());
}

// Guards against a promotion, which stops the whole group, for a primary that
// some hosts cannot reach for a moment.
BOOST_FIXTURE_TEST_CASE(is_replaced_later_if_half_of_the_hosts_reach_it, host)
{
    suspect();
    post(with_votes(1));
    BOOST_TEST(!first_of<write_claim>());
    post(row_written{write_result::done, 10});
    wait(settings.pause);
    no_answer("a");
    state.view.unreachable_for = 1100ms;
    auto rows = with_votes(1);
    rows.votes.begin()->second.since = store_time - 1100ms;
    post(rows);
    BOOST_TEST(first_of<write_claim>().has_value());
}

BOOST_FIXTURE_TEST_CASE(is_not_replaced_for_votes_that_are_old, host)
{
    suspect();
    auto rows = with_votes(3);
    for (auto& v : rows.votes)
        v.second.renewed = store_time - 10s;
    post(rows);
    BOOST_TEST(!first_of<write_claim>());
}

BOOST_FIXTURE_TEST_CASE(is_not_replaced_for_votes_against_another, host)
{
    suspect();
    auto rows = with_votes(3);
    for (auto& v : rows.votes)
        v.second.suspect = {"b"};
    post(rows);
    BOOST_TEST(!first_of<write_claim>());
}

// Guards against calls of the store that tell it nothing new.
BOOST_FIXTURE_TEST_CASE(is_voted_against_again_only_before_the_vote_ends, host)
{
    suspect();
    auto rows = with_votes(0);
    rows.votes[settings.self] = {
        {"a"}, store_time - 700ms, store_time - settings.vote_interval + 1ms};
    post(rows);
    BOOST_TEST(!first_of<write_vote>());
    wait(settings.pause);
    no_answer("a");
    rows.votes[settings.self].renewed -= 1ms;
    post(rows);
    BOOST_TEST(first_of<write_vote>().has_value());
}

// Guards against an outage that lasts because the other hosts are gone too.
BOOST_FIXTURE_TEST_CASE(is_replaced_by_one_host_in_the_end, host)
{
    suspect();
    now += settings.lone_limit;
    post(with_votes(0));
    BOOST_REQUIRE(first_of<write_claim>());
    BOOST_TEST(first_of<write_claim>()->row.token == 5U);
}

BOOST_FIXTURE_TEST_CASE(is_left_to_a_host_that_claimed_it, host)
{
    suspect();
    auto rows = with_votes(3);
    rows.last_claim->holder = {"host-2"};
    rows.last_claim->made = store_time - 500ms;
    post(rows);
    BOOST_TEST(!first_of<write_claim>());
    BOOST_TEST(is_active(state));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_claim)

// Guards against two holders with one fencing token.
BOOST_FIXTURE_TEST_CASE(that_lost_its_race_orders_nothing, host)
{
    suspect();
    post(with_votes(3));
    post(row_written{write_result::conflict, 0});
    BOOST_TEST(!first_of<ask_member>().has_value());
    BOOST_TEST(!first_of<order_promotion>().has_value());
}

BOOST_FIXTURE_TEST_CASE(whose_answer_was_lost_is_found_in_the_row, host)
{
    suspect();
    auto rows = with_votes(3);
    post(rows);
    rows.last_claim = first_of<write_claim>()->row;
    post(row_written{write_result::unknown, 0});
    wait(settings.pause);
    no_answer("a");
    post(rows);
    BOOST_TEST(first_of<ask_member>().has_value());
}

BOOST_FIXTURE_TEST_CASE(is_given_up_while_the_store_is_away, host)
{
    suspect();
    post(store_failed{});
    BOOST_TEST(last.empty());
    wait(settings.pause);
    BOOST_TEST(first_of<ask_member>().has_value());
}

BOOST_AUTO_TEST_SUITE(compares_the_replicas)

BOOST_FIXTURE_TEST_CASE(and_promotes_the_one_that_received_most, host)
{
    take_over();
    answer("b", 7);
    BOOST_TEST(!first_of<order_promotion>().has_value());
    answer("c", 9);
    const auto order = first_of<order_promotion>();
    BOOST_REQUIRE(order);
    BOOST_TEST(order->server.value == "c");
    BOOST_TEST(order->token == 5U);
    post(promotion_answered{order_result::accepted});
    BOOST_TEST(first_of<primary_known>()->promoted);
}

BOOST_FIXTURE_TEST_CASE(and_does_not_wait_for_one_that_is_silent, host)
{
    take_over();
    answer("b", 7);
    wait(settings.answer_limit);
    BOOST_TEST(first_of<order_promotion>()->server.value == "b");
}

BOOST_FIXTURE_TEST_CASE(and_stops_if_one_leads_already, host)
{
    take_over();
    answer("b", 7, core::member_role::primary);
    answer("c", 7);
    BOOST_TEST(!first_of<order_promotion>().has_value());
    BOOST_TEST(first_of<primary_known>()->server.value == "b");
}

// Guards against the loss of a commit that only a silent replica received.
BOOST_FIXTURE_TEST_CASE(and_needs_all_of_them_where_commits_are_synchronous,
                        host)
{
    view.synchronous_replicas = 1;
    take_over();
    BOOST_REQUIRE(first_of<ask_member>()->pause_replication_at);
    answer("b", 7);
    wait(settings.answer_limit);
    BOOST_TEST(!first_of<order_promotion>().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(repeats_an_order_that_was_not_answered, host)
{
    take_over();
    answer("b", 7);
    answer("c", 7);
    const auto first = *first_of<order_promotion>();
    post(promotion_answered{order_result::unknown});
    BOOST_TEST(first_of<order_promotion>()->server == first.server);
    BOOST_TEST(first_of<order_promotion>()->token == first.token);
}

BOOST_FIXTURE_TEST_CASE(is_not_used_again_after_a_refusal, host)
{
    take_over();
    answer("b", 7);
    answer("c", 7);
    post(promotion_answered{order_result::refused});
    BOOST_TEST(!first_of<order_promotion>().has_value());
    wait(settings.pause);
    no_answer("a");
    auto rows = with_votes(3);
    rows.last_claim = claim{6, {"host-2"}, {"a"}, store_time - 100ms};
    post(rows);
    BOOST_TEST(last.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_primary_that_is_leaving)

BOOST_FIXTURE_TEST_CASE(is_replaced_without_votes, host)
{
    see(false, true);
    BOOST_REQUIRE(first_of<read_rows>());
    post(with_votes(0));
    BOOST_REQUIRE(first_of<write_claim>());
    BOOST_TEST(first_of<write_claim>()->row.token == 5U);
}

BOOST_FIXTURE_TEST_CASE(is_not_replaced_by_a_member_that_leaves_too, host)
{
    view.candidates = {{"b"}};
    view.leaving_members = {{"a"}, {"c"}};
    see(false, true);
    post(with_votes(0));
    post(row_written{write_result::done, 10});
    answer("b", 3);
    BOOST_TEST(first_of<order_promotion>()->server.value == "b");
}

BOOST_AUTO_TEST_SUITE_END()
