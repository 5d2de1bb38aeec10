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

// The name is required by rapidcheck.
// NOLINTNEXTLINE(readability-identifier-naming)
void showValue(const planned_fault& fault, std::ostream& os)
{
    os << "{" << fault.at.count() << " ms, kind " << fault.kind << ", target "
       << fault.target << ", for " << fault.length.count() << " ms}";
}

constexpr auto fault_time = 12s;
// A term that is claimed and then abandoned costs one detection, two slow calls
// of the store and one takeover.
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

/// Generates plans at full size; otherwise rapidcheck starts with early and
/// short faults.
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
    sim::simulation_config config;
    config.seed = seed;
    // Short, so that it expires in runs of some seconds.
    config.row_review_interval = 4s;
    config.data_path_reports = seed % 2 == 0;
    auto w = sim::make_world(config);
    for (const auto& fault : plan)
        sim::after(*w, fault.at,
                   [&w = *w, fault]
                   { sim::inject(w, fault.kind, fault.target, fault.length); });
    sim::run_for(*w, fault_time);
    return w;
}

/// rapidcheck reads the number of cases only from RC_PARAMS, so longer runs
/// generate several plans per case.
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
    // Guards against fault plans that cause too few promotions.
    BOOST_TEST(promotions > static_cast<std::size_t>(cases()) / 2);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_group_under_random_faults)

BOOST_AUTO_TEST_SUITE(while_faults_last)

// Guards against two primaries in one term, a term that is claimed twice, and a
// promotion that loses a write held by a majority.
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
// hosts that remain in an old term.
BOOST_AUTO_TEST_CASE(one_primary_serves_and_all_members_follow_it)
{
    for_any_faults(
        [](sim::world& w)
        {
            sim::heal_all(w);
            sim::run_for(w, sim::restart_delay);
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
