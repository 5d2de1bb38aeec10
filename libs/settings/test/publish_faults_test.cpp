#include <boost/test/unit_test.hpp>

#include "publish_fixture.hpp"
#include "rapidcheck.h"

using namespace godwitbarrow;
using namespace godwitbarrow::settings;
using namespace godwitbarrow::settings::test;

BOOST_AUTO_TEST_SUITE(operators_and_faults_act_in_any_order)

void check_host(const publisher& host, const store& platform)
{
    generation_number last = 0;
    for (const auto& x : all_reports<apply>(host))
    {
        RC_ASSERT(x.generation > last);
        last = x.generation;
        RC_ASSERT(platform.history.at(x.generation) == x.digest);
    }
}

void take_random_step(fleet& in)
{
    auto& host = *rc::gen::element(true, false) ? in.a : in.b;
    const auto step = *rc::gen::inRange(0, 8);
    in.now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
    if (step == 0)
        in.scan(host, folder(*rc::gen::inRange(0, 6)));
    else if (step == 1)
        handle_event(host, tick{}, in.now);
    else if (step == 2)
        apply_delayed(in.platform);
    else if (!host.calls.empty())
        perform(host, in.platform,
                *rc::gen::weightedElement<call_outcome>(
                    {{4, call_outcome::answered},
                     {1, call_outcome::answer_lost},
                     {1, call_outcome::refused},
                     {1, call_outcome::delayed}}),
                in.now);
}

/// The store recovers and the peers exchange the newest generation.
void recover(fleet& in)
{
    apply_delayed(in.platform);
    for (int n = 0; n < 5; ++n)
        for (auto* host : {&in.a, &in.b})
            in.wait_and_run(*host);
    const auto& row = in.platform.current.row;
    if (row.generation == 0)
        return;
    const auto& files = in.platform.objects.at(current_digest(row));
    for (auto* host : {&in.a, &in.b})
        handle_event(*host, newer_generation_received{row.generation, files},
                     in.now);
}

// Guards against different contents with the same generation number,
// generation numbers that decrease, and a host that stops publishing or does
// not catch up after a fault.
BOOST_AUTO_TEST_CASE(every_host_applies_the_same_contents_for_each_generation)
{
    const auto holds = rc::check(
        []
        {
            fleet in;
            const auto steps = *rc::gen::inRange(0, 150);
            for (int n = 0; n < steps; ++n)
                take_random_step(in);
            recover(in);
            for (auto* host : {&in.a, &in.b})
            {
                check_host(*host, in.platform);
                RC_ASSERT(host->state.effective.generation == in.generation());
                RC_ASSERT(host->state.step == publish_step::idle);
                RC_ASSERT(!host->state.pending && !host->state.queued);
            }
        });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
