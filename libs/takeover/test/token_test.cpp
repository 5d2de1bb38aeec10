#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "simulated_store.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::takeover;
using namespace godwitbarrow::takeover::test;

namespace
{

constexpr std::size_t host_count = 3;

enum class step
{
    observe,
    observe_without_era,
    deliver_read,
    apply_write,
    lose_write_answer,
    give_up_write,
    refuse_order,
    leave_order_unanswered,
    wait,
    wait_for_expiry,
    copy_store,
    restore_store,
    write_other_rows,
    restart_host,
    count
};

struct planned_step
{
    step what = step::observe;
    std::size_t which = 0;
};

// The name is required by rapidcheck.
// NOLINTNEXTLINE(readability-identifier-naming)
void showValue(const planned_step& it, std::ostream& os)
{
    os << "{" << static_cast<int>(it.what) << ", " << it.which << "}";
}

rc::Gen<std::vector<planned_step>> any_history()
{
    const auto kind =
        rc::gen::map(rc::gen::inRange(0, static_cast<int>(step::count)),
                     [](int n) { return static_cast<step>(n); });
    // Full size, since a takeover alone takes five steps.
    return rc::gen::resize(
        rc::kNominalSize,
        rc::gen::container<std::vector<planned_step>>(
            400, rc::gen::construct<planned_step>(
                     kind, rc::gen::inRange<std::size_t>(0, 12))));
}

void run(simulated_hosts& all, const planned_step& it)
{
    const auto n = it.which % host_count;
    switch (it.what)
    {
        case step::observe:
            return all.observe(n, true);
        case step::observe_without_era:
            return all.observe(n, false);
        case step::deliver_read:
            return all.deliver_read(it.which);
        case step::apply_write:
            return all.apply_write(it.which, true);
        case step::lose_write_answer:
            return all.apply_write(it.which, false);
        case step::give_up_write:
            return all.give_up_write(it.which);
        case step::refuse_order:
            return all.answer_order(n, order_result::refused);
        case step::leave_order_unanswered:
            return all.answer_order(n, order_result::unknown);
        case step::wait:
            return all.advance(300ms);
        case step::wait_for_expiry:
            return all.advance(all.settings.claim_ttl);
        case step::copy_store:
            return all.make_copy();
        case step::restore_store:
            return all.restore_copy(it.which);
        case step::write_other_rows:
            all.store.newest_version += it.which;
            return;
        case step::restart_host:
            return all.restart_host(n);
        case step::count:
            return;
    }
}

/// One host replaces the primary under a claim of its own. The calls of the
/// others to the store get no answer meanwhile.
void take_over(simulated_hosts& all, std::size_t n)
{
    // It waits for the end of the last claim, and after a restore for holders
    // whose claims may have been lost.
    constexpr auto limit = 20;
    const auto before = all.orders.size();
    for (int it = 0; it < limit && all.orders.size() == before; ++it)
    {
        all.advance(all.settings.claim_ttl / 2);
        all.observe(n, true);
        all.serve(n);
    }
    all.answer_order(n, order_result::accepted);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_fencing_token)

BOOST_AUTO_TEST_SUITE(is_used_by_one_holder)

// Guards against two holders of one token: the store lost the first claim, and
// the next holder had not seen it (review case 12).
BOOST_AUTO_TEST_CASE(if_the_store_loses_the_first_claim)
{
    simulated_hosts all(host_count);
    take_over(all, 0);
    all.restore_copy(0);
    take_over(all, 1);
    BOOST_REQUIRE(all.orders.size() == 2U);
    BOOST_TEST(!all.find_shared_token());
    BOOST_TEST(all.orders[0].token < all.orders[1].token);
}

// Guards against tokens that are repeated because each claim leaves out the
// same number of them, however many restores it follows.
BOOST_AUTO_TEST_CASE(if_each_of_several_restores_loses_a_claim)
{
    simulated_hosts all(host_count);
    take_over(all, 0);
    all.make_copy();
    for (std::size_t n = 0; n < host_count; ++n)
    {
        take_over(all, n);
        all.restore_copy(1);
    }
    BOOST_TEST(all.orders.size() == 4U);
    BOOST_TEST(!all.find_shared_token());
}

// Guards against a claim of an earlier era that lands after the restore, where
// its version was given out again, and hides the token of a newer claim.
BOOST_AUTO_TEST_CASE(if_a_late_write_replaces_a_newer_claim)
{
    simulated_hosts all(host_count);
    take_over(all, 0);
    all.advance(all.settings.claim_ttl + 1s);
    all.observe(2, true);
    all.serve_reads(2);
    BOOST_REQUIRE(all.writes.size() == 1U);
    const auto late = all.writes.front();
    all.restore_copy(0);
    take_over(all, 1);
    BOOST_REQUIRE((all.apply(late).result == write_result::done));
    take_over(all, 0);
    BOOST_TEST(all.orders.size() == 3U);
    BOOST_TEST(!all.find_shared_token());
}

// Guards against a token that starts anew because the row of the last claim
// cannot be read.
BOOST_AUTO_TEST_CASE(if_the_last_claim_cannot_be_read)
{
    simulated_hosts all(host_count);
    take_over(all, 0);
    all.store.row.reset();
    take_over(all, 1);
    BOOST_TEST(all.orders.size() == 2U);
    BOOST_TEST(!all.find_shared_token());
}

// Explores histories in which hosts claim, restart and miss eras, and the store
// loses claims, loses answers and carries out writes late.
BOOST_AUTO_TEST_CASE(in_any_history)
{
    std::size_t orders = 0;
    const bool passed = rc::check(
        [&orders]
        {
            simulated_hosts all(host_count);
            all.synchronous_replicas = *rc::gen::inRange<std::size_t>(0, 2);
            for (const auto& it : *any_history())
                run(all, it);
            orders += all.orders.size();
            RC_ASSERT(!all.find_shared_token());
        });
    BOOST_TEST(passed);
    BOOST_TEST(orders > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_not_chosen_from_rows_of_before_a_restore)
{
    simulated_hosts all(host_count);
    all.observe(0, true);
    all.restore_copy(0);
    all.observe(0, true);
    all.advance(all.settings.claim_ttl);
    all.serve_reads(0);
    BOOST_TEST(all.writes.empty());
}

// Guards against a token that wraps around to one that was used.
BOOST_AUTO_TEST_CASE(is_not_chosen_if_its_era_has_none_left)
{
    simulated_hosts all(host_count);
    all.store.row_version = tokens_per_era;
    all.observe(0, true);
    all.deliver_read(0);
    BOOST_TEST(all.writes.empty());
}

BOOST_AUTO_TEST_SUITE_END()
