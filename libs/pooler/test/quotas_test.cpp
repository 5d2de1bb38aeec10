#include "fixture.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::pooler;
using godwitbarrow::pooler::test::pooler_fixture;
using namespace std::chrono_literals;

namespace
{

const core::workspace_id clinics{"clinics"};

/// A workspace with a quota.
struct quota_fixture : pooler_fixture
{
    quota_fixture()
    {
        pooler_state.settings.limits_workspaces = true;
        auto c = pooler_state.active_configuration;
        ++c.version;
        c.workspaces.required = true;
        c.workspaces.keys[workspaces::hash_key("k-1")] = clinics;
        c.workspaces.quotas[clinics] = workspaces::quota{10, 10};
        post(configuration_changed{c});
        for (session_number n = 1; n <= 4; ++n)
            post(caller_started{n, "newest", workspaces::hash_key("k-1")});
    }

    void write(session_number session)
    {
        query(session, verb::write, "WRITE 1 x");
    }

    void answer(std::uint64_t round, std::uint32_t count)
    {
        post(operations_lent{clinics, round, count, 80ms});
    }

    failure_code refusal_of(session_number session) const
    {
        const auto a = reply(session);
        BOOST_REQUIRE(a);
        BOOST_REQUIRE(failure_of(*a));
        return failure_of(*a)->code;
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_statement_of_a_limited_workspace)

// Guards against statements that reach a member without being counted.
BOOST_FIXTURE_TEST_CASE(waits_until_an_operation_is_lent, quota_fixture)
{
    write(1);
    const auto asked = first_of<borrow_operations>();
    BOOST_REQUIRE(asked);
    BOOST_TEST(asked->wanted == 1U);
    BOOST_TEST(!first_of<open_connection>().has_value());
    answer(asked->round, 1);
    const auto c = connect().connection;
    succeed(c, {1, 5}, session_state::idle, "signed");
    BOOST_TEST(outcome(1) == "success");
}

BOOST_FIXTURE_TEST_CASE(is_asked_for_together_with_those_that_came_meanwhile,
                        quota_fixture)
{
    write(1);
    write(2);
    write(3);
    BOOST_TEST(!first_of<borrow_operations>().has_value());
    answer(1, 1);
    BOOST_REQUIRE(first_of<borrow_operations>());
    BOOST_TEST(first_of<borrow_operations>()->wanted == 2U);
}

// Guards against callers that wait for a quota which is used up.
BOOST_FIXTURE_TEST_CASE(is_refused_at_once_beyond_the_quota, quota_fixture)
{
    write(1);
    answer(1, 0);
    BOOST_TEST((refusal_of(1) == failure_code::over_quota));
    write(2);
    BOOST_TEST((refusal_of(2) == failure_code::over_quota));
    now += 100ms;
    write(3);
    BOOST_TEST(first_of<borrow_operations>().has_value());
}

// Guards against a transaction that is counted once for each statement.
BOOST_FIXTURE_TEST_CASE(is_counted_once_with_its_transaction, quota_fixture)
{
    query(1, verb::begin);
    write(1);
    answer(1, 1);
    const auto c = connect().connection;
    succeed(c, {1, 5}, session_state::in_transaction);
    succeed(c, {1, 5}, session_state::in_transaction, "signed");
    BOOST_REQUIRE_EQUAL(outcome(1), "success");
    write(1);
    BOOST_TEST(!first_of<borrow_operations>().has_value());
    BOOST_TEST(first_of<send_to_member>().has_value());
}

// Guards against statements that wait for ever for a lender that failed, and
// against operations of an old answer that are run beside those of a new one.
BOOST_FIXTURE_TEST_CASE(asks_again_and_is_refused_if_no_lender_answers,
                        quota_fixture)
{
    write(1);
    wait(pooler_state.settings.lender_timeout + 25ms);
    BOOST_REQUIRE(first_of<borrow_operations>());
    BOOST_TEST(first_of<borrow_operations>()->round == 2U);
    answer(1, 1);
    BOOST_TEST(!first_of<open_connection>().has_value());
    wait(pooler_state.settings.quota_wait);
    BOOST_TEST((refusal_of(1) == failure_code::over_quota));
}

// Guards against a session that is gone and still listed as waiting.
BOOST_FIXTURE_TEST_CASE(is_forgotten_when_its_caller_disconnects, quota_fixture)
{
    write(1);
    post(caller_disconnected{1});
    BOOST_TEST(open_sessions(pooler_state) == 3U);
    answer(1, 1);
    BOOST_TEST(!first_of<open_connection>().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
