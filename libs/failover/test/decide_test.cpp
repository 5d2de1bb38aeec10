#include "godwitbarrow/failover/decide.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "sim/world.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::failover;
using namespace std::chrono_literals;
using step = report_progress::step;

namespace
{

constexpr int coordinator = 0;
constexpr auto settle_time = 3s;
constexpr auto recovery_limit = 12s;

/// Fixture: a group whose primary has served for `settle_time`.
struct running_group
{
    running_group() : w(*world)
    {
        sim::run_for(w, settle_time);
        BOOST_REQUIRE(sim::settled(w));
    }

    ~running_group()
    {
        BOOST_TEST(w.violations.empty(), sim::explain(w));
    }

    void expect_recovery(core::term_number least_term)
    {
        const bool done = sim::run_until(
            w, recovery_limit,
            [&]
            { return sim::serving_primary(w) >= 0 && term() >= least_term; });
        BOOST_TEST(done, sim::explain(w));
    }

    void expect_no_promotion(core::duration length)
    {
        sim::run_for(w, length);
        BOOST_TEST(w.promoted.size() == 1U, sim::explain(w));
        BOOST_TEST(sim::serving_primary(w) == 0);
        // A claim alone would cause the next coordinator to promote a member.
        BOOST_TEST(w.store.row.row.term == 1U, sim::explain(w));
    }

    core::term_number term() const
    {
        const int p = sim::serving_primary(w);
        return p < 0 ? 0 : w.members[p].status.term;
    }

    std::size_t count_steps(step kind) const
    {
        return static_cast<std::size_t>(
            std::count_if(w.steps.begin(), w.steps.end(),
                          [&](const auto& logged)
                          { return logged.progress.reached == kind; }));
    }

    /// Kills the coordinator when it takes the first action of a kind.
    template <class Action>
    void kill_coordinator_before()
    {
        w.on_action = [this](int h, const action& performed)
        {
            if (h == coordinator && std::holds_alternative<Action>(performed))
                sim::kill_host(w, h);
        };
    }

    std::unique_ptr<sim::world> world = sim::make_world({});
    sim::world& w;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_group_with_a_primary, running_group)

BOOST_AUTO_TEST_SUITE(when_the_primary_fails)

// Guards against a group that remains without a primary.
BOOST_AUTO_TEST_CASE(a_killed_primary_is_replaced)
{
    sim::kill_member(w, 0, false);
    expect_recovery(2);
    BOOST_TEST(w.promoted.size() == 2U);
}

// Guards against a primary that still confirms writes after it was replaced.
BOOST_AUTO_TEST_CASE(a_partitioned_primary_that_keeps_its_role_is_replaced)
{
    sim::partition_member(w, 0);
    const auto confirmed = w.commits[1].last;
    expect_recovery(2);
    sim::run_for(w, 5s);
    BOOST_TEST((w.commits[1].last <= confirmed + 100ms));
    BOOST_TEST(sim::serving_primary(w) != 0);
}

// Guards against unconfirmed writes at the end of the old log that survive
// beside the new log.
BOOST_AUTO_TEST_CASE(a_member_that_returns_truncates_its_divergent_log)
{
    sim::partition_member(w, 0);
    sim::cut_off(w, sim::member_node(0), {0, 1, 2, 3});
    sim::run_for(w, 5s);
    const auto tail = w.members[0].log.back();
    BOOST_TEST(tail.term == 1U);
    sim::heal_all(w);
    sim::run_for(w, 5s);
    BOOST_TEST(sim::settled(w), sim::explain(w));
    const auto& log = w.members[0].log;
    BOOST_TEST(std::none_of(log.begin(), log.end(),
                            [&](const auto& entry)
                            { return entry.id == tail.id; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_suspicion_is_false)

// Guards against a promotion based on the observation of a single host.
BOOST_AUTO_TEST_CASE(an_isolated_coordinator_promotes_no_member)
{
    sim::cut_off(w, coordinator, {1, 2, 3, 4, 5, 6});
    expect_no_promotion(10s);
    BOOST_TEST(count_steps(step::suspected) > 0U);
}

// Guards against a promotion while observers still reach the primary.
BOOST_AUTO_TEST_CASE(a_coordinator_cut_off_from_the_members_promotes_no_member)
{
    sim::cut_off(w, coordinator, {4, 5, 6});
    expect_no_promotion(10s);
    BOOST_TEST(count_steps(step::cleared) > 0U);
}

// Guards against a slow primary that is treated as failed.
BOOST_AUTO_TEST_CASE(a_slow_primary_stays)
{
    w.added_latency[sim::member_node(0)] = 120ms;
    expect_no_promotion(10s);
}

// Guards against an observation round that counts late statuses as unreachable.
BOOST_AUTO_TEST_CASE(a_primary_whose_statuses_are_late_stays)
{
    const auto late = [&](int h)
    {
        auto& state = w.hosts[h].state;
        state.limits.status_timeout = 0ms;
        state.limits.max_poll_wait = 0ms;
    };
    for (int h = 0; h < sim::host_count; ++h)
        late(h);
    w.added_latency[sim::member_node(0)] = 100ms;
    expect_no_promotion(10s);
    BOOST_TEST(count_steps(step::cleared) > 0U);
}

// Guards against a paused host that acts on outdated state when it resumes.
BOOST_AUTO_TEST_CASE(a_coordinator_that_was_paused_promotes_no_member)
{
    sim::pause_host(w, coordinator);
    sim::run_for(w, 6s);
    sim::resume_host(w, coordinator);
    expect_no_promotion(6s);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_store_fails_or_is_slow)

// Guards against fencing before a claim, and against a lost promotion.
BOOST_AUTO_TEST_CASE(no_member_is_fenced_until_the_store_is_up)
{
    w.store.down = true;
    sim::kill_member(w, 0, false);
    sim::run_for(w, 8s);
    BOOST_TEST(count_steps(step::waiting_for_store) > 0U);
    BOOST_TEST(w.members[1].status.term == 1U);
    BOOST_TEST(w.members[2].status.term == 1U);
    w.store.down = false;
    expect_recovery(2);
}

// Guards against a claim whose reason no longer exists.
BOOST_AUTO_TEST_CASE(a_primary_that_returns_while_the_store_is_down_stays)
{
    w.store.down = true;
    sim::kill_member(w, 0, true);
    sim::run_for(w, 6s);
    sim::restart_member(w, 0);
    sim::run_for(w, 2s);
    w.store.down = false;
    expect_no_promotion(6s);
}

// Guards against calls that time out before a slow store answers.
BOOST_AUTO_TEST_CASE(a_slow_store_delays_the_promotion)
{
    w.store.delay = 2s;
    sim::kill_member(w, 0, false);
    expect_recovery(2);
}

// Guards against a second claim after the first one took effect.
BOOST_AUTO_TEST_CASE(a_claim_whose_answer_was_lost_is_recognised)
{
    w.store.answers_to_lose = 1;
    sim::kill_member(w, 0, false);
    expect_recovery(2);
    BOOST_TEST(term() == 2U);
    BOOST_TEST(count_steps(step::claimed) == 1U);
}

// Guards against a coordinator that overrides a published promotion.
BOOST_AUTO_TEST_CASE(a_conflict_with_a_published_row_adopts_it)
{
    w.store.before_write = [&]
    {
        w.store.row = {{2, sim::server_name(1), {"other"}}, 9};
    };
    sim::kill_member(w, 0, false);
    sim::run_for(w, 2s);
    BOOST_TEST(w.hosts[coordinator].state.view.term == 2U);
    BOOST_TEST(count_steps(step::claimed) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_coordinators_compete_or_crash)

// Guards against two primaries in one term.
BOOST_AUTO_TEST_CASE(two_coordinators_promote_one_primary_per_term)
{
    for (int h = 0; h < sim::host_count; ++h)
        sim::cut_off(w, h, {0, 1, 2, 3});
    sim::run_for(w, 1s);
    BOOST_TEST(w.hosts[1].state.coordinator);
    sim::kill_member(w, 0, false);
    sim::run_for(w, 2s);
    sim::heal_all(w);
    sim::kill_member(w, 0, false);
    expect_recovery(2);
}

// Guards against a claimed term that no coordinator completes.
BOOST_AUTO_TEST_CASE(a_coordinator_crash_after_the_claim_is_taken_over)
{
    kill_coordinator_before<fence_member>();
    sim::kill_member(w, 0, false);
    expect_recovery(3);
    BOOST_TEST(w.promoted.count(2) == 0U);
}

// Guards against counting an answer to an earlier attempt for the current one.
BOOST_AUTO_TEST_CASE(a_fence_answer_of_an_older_term_does_not_count)
{
    w.on_action = [&](int, const action& performed)
    {
        if (std::holds_alternative<fence_member>(performed))
            sim::cut_off(w, coordinator, {1, 2, 3, 4, 5, 6});
    };
    sim::kill_member(w, 0, false);
    const auto fencing = [&]
    {
        return w.hosts[coordinator].state.current_phase == phase::fencing;
    };
    BOOST_REQUIRE(sim::run_until(w, recovery_limit, fencing));
    for (int m = 1; m < sim::member_count; ++m)
        sim::process_event(
            w, coordinator,
            fence_answered{sim::server_name(m),
                           core::member_status{1, 1, 5, {}, false}});
    BOOST_TEST(count_steps(step::fenced) == 0U);
    w.on_action = nullptr;
    w.cut_links.clear();
    expect_recovery(2);
}

// Guards against members that remain fenced.
BOOST_AUTO_TEST_CASE(a_coordinator_crash_after_fencing_is_taken_over)
{
    kill_coordinator_before<promote_member>();
    sim::kill_member(w, 0, false);
    expect_recovery(3);
    BOOST_TEST(w.promoted.count(2) == 0U);
}

// Guards against a second promotion after one that was made but not published.
BOOST_AUTO_TEST_CASE(a_promotion_that_was_not_published_is_adopted)
{
    kill_coordinator_before<publish_view>();
    sim::kill_member(w, 0, false);
    sim::run_for(w, 10s);
    BOOST_TEST(term() == 2U, sim::explain(w));
    BOOST_TEST(
        (w.store.row.row.primary == sim::server_name(sim::serving_primary(w))));
}

// Guards against a second primary in a term if the answer to the first
// promotion is lost.
BOOST_AUTO_TEST_CASE(an_unanswered_promotion_is_sent_to_no_other_member)
{
    w.on_action = [&](int h, const action& performed)
    {
        const auto* promote = std::get_if<promote_member>(&performed);
        if (h != coordinator || promote == nullptr)
            return;
        w.on_action = nullptr;
        const int chosen = sim::member_index(promote->server);
        // The request is already in transit; the answer finds the link cut.
        sim::after(w, 500us,
                   [&, chosen] {
                       sim::cut_off(w, coordinator,
                                    {1, 2, 3, sim::member_node(chosen)});
                   });
    };
    sim::kill_member(w, 0, false);
    sim::run_for(w, 8s);
    BOOST_TEST(w.promoted.count(2) == 1U);
    BOOST_TEST(count_steps(step::chosen) > count_steps(step::promoted),
               sim::explain(w));
    w.cut_links.clear();
    expect_recovery(2);
}

// Guards against a paused coordinator that continues a superseded attempt.
BOOST_AUTO_TEST_CASE(
    a_coordinator_that_resumes_a_superseded_attempt_changes_nothing)
{
    w.on_action = [&](int h, const action& performed)
    {
        if (h == coordinator &&
            std::holds_alternative<promote_member>(performed))
            sim::pause_host(w, h);
    };
    sim::kill_member(w, 0, false);
    sim::run_for(w, 8s);
    const auto before = term();
    BOOST_TEST(before == 3U, sim::explain(w));
    w.on_action = nullptr;
    sim::resume_host(w, coordinator);
    sim::run_for(w, 6s);
    BOOST_TEST(term() == before, sim::explain(w));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_primary_is_leaving)

// Guards against a leaving primary that is never replaced, and against repeated
// replacement.
BOOST_AUTO_TEST_CASE(a_planned_switchover_replaces_it_once)
{
    for (int h = 0; h < sim::host_count; ++h)
        sim::process_event(w, h, server_leaving{sim::server_name(0), true});
    expect_recovery(2);
    sim::run_for(w, 12s);
    BOOST_TEST(w.promoted.size() == 2U, sim::explain(w));
    BOOST_TEST(sim::serving_primary(w) != 0);
    BOOST_TEST(count_steps(step::suspected) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

// Guards against a group whose row is never written.
BOOST_AUTO_TEST_CASE(an_absent_group_row_is_created_from_the_members)
{
    auto w = sim::make_world({});
    w->store.row = {};
    sim::run_for(*w, 6s);
    BOOST_TEST(w->store.row.version == 1U);
    BOOST_TEST(w->store.row.row.term == 1U);
    BOOST_TEST((w->store.row.row.primary == sim::server_name(0)));
    BOOST_TEST(w->promoted.size() == 1U);
    BOOST_TEST(w->violations.empty(), sim::explain(*w));
}
