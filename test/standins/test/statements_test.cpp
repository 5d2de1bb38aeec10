#include "godwitbarrow/standins/statements.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace godwitbarrow::standins;
using core::access_mode;
using core::reply_status;

namespace
{

struct member_in_term_2
{
    core::backend_reply run(access_mode access, const std::string& statement,
                            const std::string& key = {},
                            core::term_number term = 2)
    {
        backend::statement_call c{{"r"}, term, access, statement, false, {}};
        if (!key.empty())
            c.key = core::idempotency_key{key};
        return execute(member, open, c, {});
    }

    reply_status status_of_run(access_mode access, const std::string& statement,
                               core::term_number term = 2)
    {
        return run(access, statement, {}, term).status;
    }

    member_state member = initial_state("a", 2, core::member_role::primary, {});
    std::optional<transaction> open;
};

using rows = std::vector<std::string>;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_primary_gets_a_statement, member_in_term_2)

BOOST_AUTO_TEST_SUITE(of_its_own_term)

// Guards against reads that do not state which data they saw.
BOOST_AUTO_TEST_CASE(a_read_carries_the_position_of_its_data)
{
    run(access_mode::write, "put k some words");
    const auto r = run(access_mode::read, "get k");
    BOOST_TEST(r.rows == rows{"some words"});
    BOOST_TEST(r.at == (core::log_position{2, 1}));
}

// Guards against a retried write that is applied twice (P6).
BOOST_AUTO_TEST_CASE(a_repeated_key_gets_the_stored_result)
{
    const auto first = run(access_mode::write, "append k x", "id");
    run(access_mode::write, "put other 1");
    const auto second = run(access_mode::write, "append k x", "id");
    BOOST_TEST(second.rows == first.rows);
    BOOST_TEST(second.at == first.at);
    BOOST_TEST(member.data.at("k") == "x");
}

// Guards against a change that runs under the rules of a read.
BOOST_AUTO_TEST_CASE(statements_that_do_not_fit_their_access_are_rejected)
{
    const auto rejected = reply_status::rejected;
    BOOST_TEST((status_of_run(access_mode::read, "put k v") == rejected));
    BOOST_TEST((status_of_run(access_mode::write, "get k") == rejected));
    BOOST_TEST((status_of_run(access_mode::write, "drop k") == rejected));
    BOOST_TEST((status_of_run(access_mode::write, "put k") == rejected));
    BOOST_TEST(member.log.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_another_term)

// Guards against a primary that serves after it was replaced (P2).
BOOST_AUTO_TEST_CASE(a_higher_term_makes_it_step_down)
{
    const auto wrong = reply_status::wrong_term;
    BOOST_TEST((status_of_run(access_mode::write, "put k v", 3) == wrong));
    BOOST_TEST((status_of_run(access_mode::write, "put k v", 2) == wrong));
    BOOST_TEST((status_of_run(access_mode::read, "get k", 2) == wrong));
}

BOOST_AUTO_TEST_CASE(a_lower_term_is_refused)
{
    BOOST_TEST((status_of_run(access_mode::write, "put k v", 1) ==
                reply_status::wrong_term));
    BOOST_TEST((member.role == core::member_role::primary));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(inside_a_transaction)

// Guards against the mixing of sessions (P3).
BOOST_AUTO_TEST_CASE(its_changes_are_visible_only_inside_until_the_commit)
{
    run(access_mode::write, "put k a");
    run(access_mode::begin, "");
    run(access_mode::statement, "append k b");
    BOOST_TEST(run(access_mode::statement, "get k").rows == rows{"ab"});
    BOOST_TEST(run(access_mode::read, "get k").rows == rows{"a"});
    BOOST_TEST(run(access_mode::commit, "", "id").at.position == 2);
    BOOST_TEST(run(access_mode::read, "get k").rows == rows{"ab"});
    BOOST_TEST(!open.has_value());
}

BOOST_AUTO_TEST_CASE(a_rollback_leaves_nothing)
{
    run(access_mode::begin, "");
    run(access_mode::statement, "put k v");
    run(access_mode::rollback, "");
    BOOST_TEST(member.log.empty());
    BOOST_TEST(
        (status_of_run(access_mode::commit, "") == reply_status::rejected));
}

// Guards against a commit of statements that an older term has run.
BOOST_AUTO_TEST_CASE(a_change_of_the_term_ends_it)
{
    run(access_mode::begin, "");
    run(access_mode::statement, "put k v");
    fence(member, 3, "x");
    promote(member, 3, "x");
    BOOST_TEST(
        (status_of_run(access_mode::commit, "", 3) == reply_status::rejected));
    BOOST_TEST(member.log.empty());
}

// Guards against a commit that runs twice because its answer was lost.
BOOST_AUTO_TEST_CASE(a_repeated_commit_with_a_key_gets_the_stored_result)
{
    run(access_mode::begin, "");
    run(access_mode::statement, "put k v");
    run(access_mode::commit, "", "id");
    const auto r = run(access_mode::commit, "", "id");
    BOOST_TEST((r.status == reply_status::executed));
    BOOST_TEST(r.at.position == 1);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_replica_gets_a_statement)

struct replica : member_in_term_2
{
    replica()
    {
        run(access_mode::write, "put k v", "id");
        fence(member, 3, "x");
        follow(member, 3, "b", {});
    }
};

BOOST_FIXTURE_TEST_SUITE(of_a_term_that_it_has_not_joined, replica)

// Guards against reads of a divergent tail that look like the new term.
BOOST_AUTO_TEST_CASE(it_refuses_reads)
{
    BOOST_TEST((status_of_run(access_mode::read, "get k", 3) ==
                reply_status::wrong_term));
}

BOOST_AUTO_TEST_CASE(after_it_has_joined_it_refuses_only_changes)
{
    const pull_reply r{true, 3, 1, 1, {}};
    BOOST_TEST(take_pull(member, make_pull(member, {}), r, {}));
    BOOST_TEST((status_of_run(access_mode::write, "put k w", 3) ==
                reply_status::not_primary));
    BOOST_TEST((status_of_run(access_mode::begin, "", 3) ==
                reply_status::not_primary));
    BOOST_TEST(run(access_mode::read, "get k", {}, 3).rows == rows{"v"});
}

// Guards against a promoted replica that does not know a key (P6).
BOOST_AUTO_TEST_CASE(after_its_promotion_it_knows_the_keys_of_its_log)
{
    fence(member, 4, "y");
    promote(member, 4, "y");
    const auto r = run(access_mode::write, "put k v", "id", 4);
    BOOST_TEST(r.at == (core::log_position{4, 1}));
    BOOST_TEST(member.log.size() == 1);
    BOOST_TEST(lookup(member, "id", {}).stored.has_value());
    BOOST_TEST(!lookup(member, "other", {}).stored.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
