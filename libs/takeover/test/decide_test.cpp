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
        view.leaving = leaving;
        post(group_seen{view});
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

    /// A row with fresh votes of other hosts.
    row with_votes(int others) const
    {
        row it;
        it.token = 4;
        it.claimed = store_time - 60s;
        it.suspect = {"a"};
        for (int n = 0; n < others; ++n)
            it.votes[{"host-" + std::to_string(n + 2)}] = store_time - 100ms;
        return it;
    }

    void read(const row& it, std::uint64_t version = 9)
    {
        post(row_read{it, version, store_time});
    }

    /// Suspects the primary until the row is to be read.
    void suspect()
    {
        see(true);
        BOOST_REQUIRE(first_of<ask_member>());
        no_answer("a");
        BOOST_REQUIRE(first_of<read_row>());
    }

    /// Claims the takeover with the votes of half of the hosts.
    void claim()
    {
        suspect();
        read(with_votes(1));
        BOOST_REQUIRE(first_of<write_row>());
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
    read(with_votes(0));
    const auto written = first_of<write_row>();
    BOOST_REQUIRE(written);
    BOOST_TEST(written->what.token == 4U);
    BOOST_TEST(written->what.votes.count({"host-1"}) == 1U);
}

BOOST_FIXTURE_TEST_CASE(is_replaced_on_the_word_of_half_of_the_hosts, host)
{
    claim();
    BOOST_TEST(state.token == 5U);
    BOOST_TEST(first_of<ask_member>().has_value());
}

BOOST_FIXTURE_TEST_CASE(is_not_replaced_for_votes_that_are_old, host)
{
    suspect();
    auto r = with_votes(3);
    for (auto& v : r.votes)
        v.second = store_time - 10s;
    read(r);
    BOOST_TEST(first_of<write_row>()->what.token == 4U);
}

BOOST_FIXTURE_TEST_CASE(is_not_replaced_for_votes_against_another, host)
{
    suspect();
    auto r = with_votes(3);
    r.suspect = {"b"};
    read(r);
    BOOST_TEST(first_of<write_row>()->what.token == 4U);
    BOOST_TEST(first_of<write_row>()->what.votes.size() == 1U);
}

// Guards against an outage that lasts because the other hosts are gone too.
BOOST_FIXTURE_TEST_CASE(is_replaced_by_one_host_in_the_end, host)
{
    suspect();
    now += settings.lone_limit;
    read(with_votes(0));
    BOOST_TEST(first_of<write_row>()->what.token == 5U);
}

BOOST_FIXTURE_TEST_CASE(is_left_to_a_host_that_claimed_it, host)
{
    suspect();
    auto r = with_votes(3);
    r.holder = {"host-2"};
    r.claimed = store_time - 500ms;
    read(r);
    BOOST_TEST(!first_of<write_row>().has_value());
    BOOST_TEST(is_active(state));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_claim)

// Guards against two holders with one fencing token.
BOOST_FIXTURE_TEST_CASE(that_lost_its_race_orders_nothing, host)
{
    suspect();
    read(with_votes(1));
    post(row_written{write_result::conflict, 0});
    BOOST_TEST(!first_of<ask_member>().has_value());
    BOOST_TEST(!first_of<order_promotion>().has_value());
}

BOOST_FIXTURE_TEST_CASE(whose_answer_was_lost_is_found_in_the_row, host)
{
    suspect();
    read(with_votes(1));
    const auto claimed = first_of<write_row>()->what;
    post(row_written{write_result::unknown, 0});
    wait(settings.pause);
    no_answer("a");
    read(claimed, 10);
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
    claim();
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
    claim();
    answer("b", 7);
    wait(settings.answer_limit);
    BOOST_TEST(first_of<order_promotion>()->server.value == "b");
}

BOOST_FIXTURE_TEST_CASE(and_stops_if_one_leads_already, host)
{
    claim();
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
    claim();
    BOOST_REQUIRE(first_of<ask_member>()->pause_at);
    answer("b", 7);
    wait(settings.answer_limit);
    BOOST_TEST(!first_of<order_promotion>().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(repeats_an_order_that_was_not_answered, host)
{
    claim();
    answer("b", 7);
    answer("c", 7);
    const auto first = *first_of<order_promotion>();
    post(promotion_answered{order_result::unknown});
    BOOST_TEST(first_of<order_promotion>()->server == first.server);
    BOOST_TEST(first_of<order_promotion>()->token == first.token);
}

BOOST_FIXTURE_TEST_CASE(is_not_used_again_after_a_refusal, host)
{
    claim();
    answer("b", 7);
    answer("c", 7);
    post(promotion_answered{order_result::refused});
    BOOST_TEST(!first_of<order_promotion>().has_value());
    wait(settings.pause);
    no_answer("a");
    auto r = with_votes(1);
    r.token = 6;
    r.holder = {"host-2"};
    r.claimed = store_time - 100ms;
    read(r);
    BOOST_TEST(last.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_primary_that_is_leaving)

BOOST_FIXTURE_TEST_CASE(is_replaced_without_votes, host)
{
    see(false, true);
    BOOST_REQUIRE(first_of<read_row>());
    read(with_votes(0));
    BOOST_TEST(first_of<write_row>()->what.token == 5U);
}

BOOST_FIXTURE_TEST_CASE(is_not_replaced_by_a_member_that_leaves_too, host)
{
    view.candidates = {{"b"}};
    view.leaving_members = {{"a"}, {"c"}};
    see(false, true);
    read(with_votes(0));
    post(row_written{write_result::done, 10});
    answer("b", 3);
    BOOST_TEST(first_of<order_promotion>()->server.value == "b");
}

BOOST_AUTO_TEST_SUITE_END()
