#include "godwitbarrow/pooler/lost_owner.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace godwitbarrow::pooler;

namespace
{

std::vector<answer> answer_to(const std::vector<verb>& kinds,
                              bool in_transaction = false)
{
    std::vector<outstanding_statement> all;
    all.reserve(kinds.size());
    for (const auto kind : kinds)
        all.push_back({{"5c0e"}, kind});
    return answer_without_owner(all, in_transaction, "owner lost");
}

bool all_have_code(const std::vector<answer>& all, failure_code code)
{
    return std::all_of(all.begin(), all.end(),
                       [&](const auto& it)
                       {
                           const auto* f = failure_of(it);
                           return f && f->code == code &&
                                  f->text == "owner lost";
                       });
}

std::vector<session_state> states_of(const std::vector<answer>& all)
{
    std::vector<session_state> out;
    out.reserve(all.size());
    for (const auto& it : all)
        out.push_back(it.state);
    return out;
}

bool is_in_doubt(const std::vector<verb>& kinds, bool in_transaction = false)
{
    return all_have_code(answer_to(kinds, in_transaction),
                         failure_code::in_doubt);
}

bool is_aborted(const std::vector<verb>& kinds, bool in_transaction = false)
{
    return all_have_code(answer_to(kinds, in_transaction),
                         failure_code::aborted);
}

/// A session at a member that runs each statement.
struct session_model
{
    bool open = false;
    bool pending = false;
    bool committed = false;

    void run(verb kind)
    {
        switch (kind)
        {
            case verb::begin:
            case verb::begin_read:
                open = true;
                return;
            case verb::write:
            // Of a prepared statement that writes.
            case verb::execute:
                (open ? pending : committed) = true;
                return;
            case verb::commit:
                committed = committed || pending;
                open = pending = false;
                return;
            case verb::rollback:
                open = pending = false;
                return;
            default:
                return;
        }
    }
};

/// Whether something is kept if the owner was lost after any of them.
bool may_be_committed(const std::vector<verb>& kinds, bool in_transaction)
{
    // The transaction may have written before these statements.
    session_model it{in_transaction, in_transaction, false};
    for (const auto kind : kinds)
        it.run(kind);
    return it.committed;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(statements_without_their_owner)

// Guards against a write that is made twice by a caller that was told that the
// first one had no effect.
BOOST_AUTO_TEST_SUITE(are_in_doubt)

BOOST_AUTO_TEST_CASE(if_one_writes_outside_a_transaction)
{
    BOOST_TEST(is_in_doubt({verb::write}));
    BOOST_TEST(is_in_doubt({verb::execute}));
    BOOST_TEST(is_in_doubt({verb::read, verb::write, verb::read}));
    BOOST_TEST(is_in_doubt({verb::rollback, verb::write}, true));
}

BOOST_AUTO_TEST_CASE(if_one_commits)
{
    BOOST_TEST(is_in_doubt({verb::commit}, true));
    BOOST_TEST(is_in_doubt({verb::begin, verb::write, verb::commit}));
    BOOST_TEST(is_in_doubt({verb::write, verb::commit, verb::begin}, true));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against "aborted" for a write that ran on its own: an owner that shuts
// down refuses BEGIN for some time while it still runs single writes.
BOOST_AUTO_TEST_SUITE(after_a_begin_that_may_be_refused)

BOOST_AUTO_TEST_CASE(are_in_doubt_if_one_writes)
{
    BOOST_TEST(is_in_doubt({verb::begin, verb::write}));
    BOOST_TEST(is_in_doubt({verb::begin, verb::execute, verb::rollback}));
    BOOST_TEST(is_in_doubt({verb::rollback, verb::begin, verb::write}, true));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a caller that can't repeat what certainly had no effect.
BOOST_AUTO_TEST_SUITE(are_aborted)

BOOST_AUTO_TEST_CASE(if_they_only_read)
{
    BOOST_TEST(is_aborted({verb::read}));
    BOOST_TEST(is_aborted({verb::read, verb::set, verb::prepare,
                           verb::deallocate, verb::unknown}));
}

BOOST_AUTO_TEST_CASE(if_their_transaction_was_not_committed)
{
    BOOST_TEST(is_aborted({verb::write}, true));
    BOOST_TEST(is_aborted({verb::execute, verb::write}, true));
    BOOST_TEST(is_aborted({verb::write, verb::rollback}, true));
    BOOST_TEST(is_aborted({verb::begin, verb::read, verb::rollback}));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a caller that takes the connection for one in a transaction
// that has ended, or the other way round.
BOOST_AUTO_TEST_SUITE(tell_the_state_of_the_session)

constexpr auto idle = session_state::idle;
constexpr auto failed = session_state::failed_transaction;

BOOST_AUTO_TEST_CASE(as_idle_outside_a_transaction)
{
    BOOST_TEST((states_of(answer_to({verb::read, verb::write})) ==
                std::vector{idle, idle}));
}

BOOST_AUTO_TEST_CASE(as_idle_if_the_transaction_was_not_begun)
{
    BOOST_TEST(
        (states_of(answer_to({verb::begin, verb::write, verb::commit})) ==
         std::vector{idle, idle, idle}));
}

BOOST_AUTO_TEST_CASE(as_failed_up_to_the_end_of_the_transaction)
{
    for (const auto end : {verb::commit, verb::rollback})
        BOOST_TEST((states_of(answer_to(
                        {verb::read, verb::write, end, verb::read}, true)) ==
                    std::vector{failed, failed, idle, idle}));
}

// Only the first transaction had begun.
BOOST_AUTO_TEST_CASE(as_idle_after_it_even_if_another_was_to_begin)
{
    BOOST_TEST((states_of(answer_to({verb::rollback, verb::begin, verb::read},
                                    true)) == std::vector{idle, idle, idle}));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a caller that waits for an answer that never comes.
BOOST_AUTO_TEST_CASE(are_each_answered_once)
{
    BOOST_TEST(answer_to({}).empty());
    BOOST_TEST(answer_to({verb::begin, verb::read, verb::commit}).size() == 3U);
}

// Guards against an order of statements in which "aborted" is said although
// one of them may have been committed.
BOOST_AUTO_TEST_CASE(are_aborted_in_no_order_if_one_may_be_committed)
{
    const auto any_verb = rc::gen::element(
        verb::begin, verb::begin_read, verb::commit, verb::rollback, verb::read,
        verb::write, verb::set, verb::prepare, verb::execute, verb::deallocate,
        verb::unknown);
    BOOST_TEST(rc::check(
        [&](bool in_transaction)
        {
            const auto kinds = *rc::gen::container<std::vector<verb>>(any_verb);
            const auto all = answer_to(kinds, in_transaction);
            RC_ASSERT(all.size() == kinds.size());
            if (may_be_committed(kinds, in_transaction))
                RC_ASSERT(all_have_code(all, failure_code::in_doubt));
            for (const auto& it : all)
                RC_ASSERT(it.state != session_state::in_transaction);
        }));
}

BOOST_AUTO_TEST_SUITE_END()
