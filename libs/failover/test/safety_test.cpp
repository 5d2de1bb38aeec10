#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "sim/world.hpp"

using namespace godwitbarrow::failover;
using namespace std::chrono_literals;

namespace
{

struct planned_fault
{
    std::chrono::milliseconds at;
    unsigned kind = 0;
    unsigned target = 0;
    std::chrono::milliseconds length;
};

void showValue(const planned_fault& it, std::ostream& os)
{
    os << "{" << it.at.count() << " ms, kind " << it.kind << ", target "
       << it.target << ", for " << it.length.count() << " ms}";
}

constexpr auto fault_time = 12s;
// A term that is claimed and given up costs a detection, two slow calls of the
// store and a takeover.
constexpr auto recovery_limit = 20s;

rc::Gen<std::chrono::milliseconds> any_time(int least, int most)
{
    return rc::gen::map(rc::gen::inRange(least, most),
                        [](int n) { return std::chrono::milliseconds(n); });
}

rc::Gen<planned_fault> any_fault()
{
    return rc::gen::construct<planned_fault>(
        any_time(500, 12000), rc::gen::inRange(0U, sim::fault_kinds),
        rc::gen::inRange(0U, 24U), any_time(50, 6000));
}

/// At full size, as rapidcheck otherwise begins with early, short faults.
rc::Gen<std::vector<planned_fault>> any_plan()
{
    const auto n = *rc::gen::resize(rc::kNominalSize,
                                    rc::gen::inRange<std::size_t>(0, 13));
    return rc::gen::resize(
        rc::kNominalSize,
        rc::gen::container<std::vector<planned_fault>>(n, any_fault()));
}

int cases()
{
    const char* text = std::getenv("GODWITBARROW_FUZZ_CASES");
    return text == nullptr ? 100 : std::max(1, std::atoi(text));
}

std::unique_ptr<sim::world> run_faults(std::uint64_t seed,
                                       const std::vector<planned_fault>& plan)
{
    sim::conditions how;
    how.seed = seed;
    how.data_path_reports = seed % 2 == 0;
    auto w = sim::make_world(how);
    for (const auto& it : plan)
        sim::after(*w, it.at,
                   [&w = *w, it]
                   { sim::inject(w, it.kind, it.target, it.length); });
    sim::run_for(*w, fault_time);
    return w;
}

/// rapidcheck reads the number of cases only from RC_PARAMS, so longer runs
/// draw several plans in one case.
template <class Check>
void for_any_faults(Check check)
{
    const int rounds = (cases() + 99) / 100;
    std::size_t promotions = 0;
    BOOST_TEST(rc::check(
        [&]
        {
            for (int i = 0; i < rounds; ++i)
            {
                const auto seed = *rc::gen::inRange(1, 1000000);
                const auto plan = *any_plan();
                auto w = run_faults(static_cast<std::uint64_t>(seed), plan);
                promotions += w->promoted.size() - 1;
                check(*w);
            }
        }));
    // Guards against plans that provoke nothing.
    BOOST_TEST(promotions > static_cast<std::size_t>(cases()) / 2);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_group_under_random_faults)

BOOST_AUTO_TEST_SUITE(while_faults_last)

// Guards against two primaries in a term, a term that is claimed twice, and a
// promotion that loses a write which a majority held.
BOOST_AUTO_TEST_CASE(terms_have_one_primary_and_confirmed_writes_survive)
{
    for_any_faults(
        [](sim::world& w)
        {
            if (!w.violations.empty())
                RC_FAIL(sim::explain(w));
        });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(after_the_faults_end)

// Guards against attempts that wait for each other, and against members and
// hosts that stay with an old term.
BOOST_AUTO_TEST_CASE(one_primary_serves_and_everyone_follows_it)
{
    for_any_faults(
        [](sim::world& w)
        {
            sim::heal_all(w);
            sim::run_for(w, sim::rest);
            const bool done = sim::run_until(w, recovery_limit,
                                             [&] { return sim::settled(w); });
            if (!done || !w.violations.empty())
                RC_FAIL(sim::explain(w));
            sim::run_for(w, 3s);
            if (!sim::settled(w) || !w.violations.empty())
                RC_FAIL(sim::explain(w));
        });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
