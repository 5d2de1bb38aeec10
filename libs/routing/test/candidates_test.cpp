#include "godwitbarrow/routing/candidates.hpp"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace godwitbarrow;
using namespace godwitbarrow::routing;
using namespace std::chrono_literals;

namespace
{

struct member_fixture
{
    std::vector<member_entry> all{{{"casa"}, {{"casa1"}, {"west"}}},
                                  {{"marr"}, {{"marr1"}, {"centre"}}},
                                  {{"agad"}, {{"agad1"}, {"south"}}}};
    core::server_id primary{"casa"};
    location local{{"agad1"}, {"south"}};
    latency_estimates latencies;

    std::string candidate_order(core::access_mode access,
                                const std::string& id = "") const
    {
        core::request request;
        request.id = {id};
        request.access = access;
        std::string text;
        for (const auto& server :
             candidate_servers(request, all, primary, local, latencies))
            text += server.value + " ";
        return text;
    }
};

constexpr auto read_access = core::access_mode::read;

}  // namespace

BOOST_AUTO_TEST_SUITE(an_entry_host_orders_the_members)

BOOST_FIXTURE_TEST_CASE(writes_and_transactions_go_to_the_primary,
                        member_fixture)
{
    BOOST_TEST(candidate_order(core::access_mode::write) == "casa ");
    BOOST_TEST(candidate_order(core::access_mode::begin) == "casa ");
    BOOST_TEST(candidate_order(core::access_mode::commit) == "casa ");
}

BOOST_AUTO_TEST_SUITE(for_a_read)

// Guards against reads that go to the primary although replicas could serve
// them.
BOOST_FIXTURE_TEST_CASE(replicas_are_ordered_by_latency_and_the_primary_is_last,
                        member_fixture)
{
    BOOST_TEST(candidate_order(read_access) == "agad marr casa ");
    local = {{"casa1"}, {"west"}};
    latencies.one_way[{"marr1"}] = 2ms;
    BOOST_TEST(candidate_order(read_access) == "marr agad casa ");
}

// Guards against one replica receiving all reads of the hosts that have
// the same latency to several replicas.
BOOST_FIXTURE_TEST_CASE(replicas_with_equal_latency_share_the_reads,
                        member_fixture)
{
    local = {{"casa1"}, {"west"}};
    int agad_first = 0;
    for (int n = 0; n < 1000; ++n)
    {
        const auto servers = candidate_order(read_access, std::to_string(n));
        BOOST_TEST(
            (servers == "agad marr casa " || servers == "marr agad casa "));
        agad_first += servers.front() == 'a' ? 1 : 0;
    }
    BOOST_TEST(agad_first > 400);
    BOOST_TEST(agad_first < 600);
}

BOOST_FIXTURE_TEST_CASE(a_suspected_replica_comes_after_the_others,
                        member_fixture)
{
    all[2].suspected = true;
    BOOST_TEST(candidate_order(read_access) == "marr agad casa ");
}

BOOST_FIXTURE_TEST_CASE(replicas_serve_while_there_is_no_primary,
                        member_fixture)
{
    primary = {};
    BOOST_TEST(candidate_order(read_access) == "agad casa marr ");
    BOOST_TEST(candidate_order(core::access_mode::write).empty());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against new work being sent to a server that is about to stop.
BOOST_FIXTURE_TEST_CASE(leaving_members_get_only_open_transactions,
                        member_fixture)
{
    all[0].leaving = true;
    all[1].leaving = true;
    BOOST_TEST(candidate_order(read_access) == "agad ");
    BOOST_TEST(candidate_order(core::access_mode::begin).empty());
    BOOST_TEST(candidate_order(core::access_mode::statement) == "casa ");
}

BOOST_AUTO_TEST_SUITE_END()
