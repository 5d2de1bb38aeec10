#include "godwitbarrow/routing/candidates.hpp"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace godwitbarrow;
using namespace godwitbarrow::routing;
using namespace std::chrono_literals;

namespace
{

struct members
{
    std::vector<member_entry> all{{{"casa"}, {{"casa1"}, {"west"}}},
                                  {{"marr"}, {{"marr1"}, {"centre"}}},
                                  {{"agad"}, {{"agad1"}, {"south"}}}};
    core::server_id primary{"casa"};
    location here{{"agad1"}, {"south"}};
    latency_estimates known;

    std::string order(core::access_mode access,
                      const std::string& id = "") const
    {
        core::request it;
        it.id = {id};
        it.access = access;
        std::string text;
        for (const auto& server :
             candidate_servers(it, all, primary, here, known))
            text += server.value + " ";
        return text;
    }
};

constexpr auto reading = core::access_mode::read;

}  // namespace

BOOST_AUTO_TEST_SUITE(an_entry_host_orders_the_members)

BOOST_FIXTURE_TEST_CASE(writes_and_transactions_go_to_the_primary, members)
{
    BOOST_TEST(order(core::access_mode::write) == "casa ");
    BOOST_TEST(order(core::access_mode::begin) == "casa ");
    BOOST_TEST(order(core::access_mode::commit) == "casa ");
}

BOOST_AUTO_TEST_SUITE(for_a_read)

// Guards against reads that load the primary while replicas could serve them.
BOOST_FIXTURE_TEST_CASE(near_replicas_come_first_and_the_primary_last, members)
{
    BOOST_TEST(order(reading) == "agad marr casa ");
    here = {{"casa1"}, {"west"}};
    known.one_way[{"marr1"}] = 2ms;
    BOOST_TEST(order(reading) == "marr agad casa ");
}

// Guards against one replica that gets all reads of the hosts that are as far
// from it as from another one.
BOOST_FIXTURE_TEST_CASE(replicas_at_the_same_distance_share_the_reads, members)
{
    here = {{"casa1"}, {"west"}};
    int agad_first = 0;
    for (int n = 0; n < 1000; ++n)
    {
        const auto got = order(reading, std::to_string(n));
        BOOST_TEST((got == "agad marr casa " || got == "marr agad casa "));
        agad_first += got.front() == 'a' ? 1 : 0;
    }
    BOOST_TEST(agad_first > 400);
    BOOST_TEST(agad_first < 600);
}

BOOST_FIXTURE_TEST_CASE(a_suspected_replica_comes_after_the_others, members)
{
    all[2].suspected = true;
    BOOST_TEST(order(reading) == "marr agad casa ");
}

BOOST_FIXTURE_TEST_CASE(replicas_serve_while_there_is_no_primary, members)
{
    primary = {};
    BOOST_TEST(order(reading) == "agad casa marr ");
    BOOST_TEST(order(core::access_mode::write).empty());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against new work on a server that is about to stop.
BOOST_FIXTURE_TEST_CASE(leaving_members_get_only_running_transactions, members)
{
    all[0].leaving = true;
    all[1].leaving = true;
    BOOST_TEST(order(reading) == "agad ");
    BOOST_TEST(order(core::access_mode::begin).empty());
    BOOST_TEST(order(core::access_mode::statement) == "casa ");
}

BOOST_AUTO_TEST_SUITE_END()
