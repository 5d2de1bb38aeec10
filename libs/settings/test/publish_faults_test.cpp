#include <boost/test/unit_test.hpp>

#include "publish_fixture.hpp"
#include "rapidcheck.h"

using namespace godwitbarrow;
using namespace godwitbarrow::settings;
using namespace godwitbarrow::settings::test;

BOOST_AUTO_TEST_SUITE(operators_and_faults_act_in_any_order)

void check_host(const publisher& it, const store& platform)
{
    generation_number last = 0;
    for (const auto& x : all_reports<apply>(it))
    {
        RC_ASSERT(x.generation > last);
        last = x.generation;
        RC_ASSERT(platform.history.at(x.generation) == x.digest);
    }
}

void take_random_step(fleet& in)
{
    auto& it = *rc::gen::element(true, false) ? in.a : in.b;
    const auto step = *rc::gen::inRange(0, 8);
    in.now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
    if (step == 0)
        in.scan(it, folder(*rc::gen::inRange(0, 6)));
    else if (step == 1)
        feed(it, tick{}, in.now);
    else if (step == 2)
        apply_delayed(in.platform);
    else if (!it.calls.empty())
        perform(
            it, in.platform,
            *rc::gen::weightedElement<call_fate>({{4, call_fate::answered},
                                                  {1, call_fate::answer_lost},
                                                  {1, call_fate::refused},
                                                  {1, call_fate::delayed}}),
            in.now);
}

/// The store works again and peers exchange the newest generation.
void settle(fleet& in)
{
    apply_delayed(in.platform);
    for (int n = 0; n < 5; ++n)
        for (auto* it : {&in.a, &in.b})
            in.wait_and_run(*it);
    const auto& row = in.platform.current.row;
    if (row.generation == 0)
        return;
    const auto& files = in.platform.objects.at(current_digest(row));
    for (auto* it : {&in.a, &in.b})
        feed(*it, newer_generation_learned{row.generation, files}, in.now);
}

// Guards against two contents under one number, numbers that go back, and a
// host that stops publishing or stays behind after a fault.
BOOST_AUTO_TEST_CASE(every_host_applies_the_one_content_of_each_generation)
{
    const auto holds = rc::check(
        []
        {
            fleet in;
            const auto steps = *rc::gen::inRange(0, 150);
            for (int n = 0; n < steps; ++n)
                take_random_step(in);
            settle(in);
            for (auto* it : {&in.a, &in.b})
            {
                check_host(*it, in.platform);
                RC_ASSERT(it->state.effective.generation == in.generation());
                RC_ASSERT(it->state.step == publish_step::idle);
                RC_ASSERT(!it->state.pending && !it->state.queued);
            }
        });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
