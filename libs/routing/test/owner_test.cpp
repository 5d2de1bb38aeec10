#include "godwitbarrow/routing/owner.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

using namespace godwitbarrow;
using namespace godwitbarrow::routing;

namespace
{

/// Two data centres of four hosts in one region, and a third in another.
std::vector<host_entry> fleet()
{
    std::vector<host_entry> hosts;
    for (const std::string dc : {"casa1", "casa2", "agadir"})
        for (int n = 0; n < 4; ++n)
            hosts.push_back({{dc + "-" + std::to_string(n)},
                             {{dc}, {dc == "agadir" ? "south" : "west"}}});
    return hosts;
}

server_location server(int n)
{
    return {{"db-" + std::to_string(n)}, {{"casa1"}, {"west"}}};
}

void leave(std::vector<host_entry>& hosts, const std::string& prefix)
{
    for (auto& it : hosts)
        if (it.host.value.compare(0, prefix.size(), prefix) == 0)
            it.leaving = true;
}

bool starts_with(const core::host_id& it, const std::string& prefix)
{
    return it.value.compare(0, prefix.size(), prefix) == 0;
}

constexpr int servers = 1000;

}  // namespace

BOOST_AUTO_TEST_SUITE(hosts_share_the_backend_servers)

// Guards against a hash that differs between versions, which would give a
// server two owners during an upgrade.
BOOST_AUTO_TEST_CASE(the_hash_is_fixed)
{
    BOOST_TEST(rendezvous_hash("db-1", "host-1") == 8894467826488036616ULL);
    BOOST_TEST(rendezvous_hash("ab", "c") != rendezvous_hash("a", "bc"));
}

BOOST_AUTO_TEST_CASE(the_share_of_each_is_near_a_quarter)
{
    std::map<core::host_id, int> owned;
    for (int n = 0; n < servers; ++n)
        ++owned[*owner_of(server(n), fleet())];
    BOOST_TEST(owned.size() == 4U);
    for (const auto& [host, n] : owned)
        BOOST_TEST((n > servers / 5 && n < servers * 3 / 10), host << n);
}

// Guards against a loss of one host that moves the servers of the others.
BOOST_AUTO_TEST_CASE(only_the_servers_of_a_lost_host_move)
{
    auto fewer = fleet();
    const auto lost = fewer.front().host;
    fewer.front().suspected = true;
    for (int n = 0; n < servers; ++n)
    {
        const auto before = owner_of(server(n), fleet());
        const auto after = owner_of(server(n), fewer);
        BOOST_TEST((before == lost ? after != lost : after == before));
    }
}

BOOST_AUTO_TEST_SUITE(the_nearest_level_with_a_host_decides)

BOOST_AUTO_TEST_CASE(first_the_data_centre_then_the_region_then_all)
{
    auto hosts = fleet();
    BOOST_TEST(starts_with(*owner_of(server(1), hosts), "casa1"));
    leave(hosts, "casa1");
    BOOST_TEST(starts_with(*owner_of(server(1), hosts), "casa2"));
    leave(hosts, "casa2");
    BOOST_TEST(starts_with(*owner_of(server(1), hosts), "agadir"));
    leave(hosts, "agadir");
    BOOST_TEST(!owner_of(server(1), hosts).has_value());
}

// Guards against an owner that cannot reach its server.
BOOST_AUTO_TEST_CASE(hosts_without_contact_are_passed_over)
{
    const auto first = *owner_of(server(1), fleet());
    const auto second = *owner_of(server(1), fleet(), {first});
    BOOST_TEST(second != first);
    std::vector<core::host_id> all;
    for (const auto& it : fleet())
        all.push_back(it.host);
    BOOST_TEST(*owner_of(server(1), fleet(), all) == first);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_coordinator_is_any_usable_host)
{
    auto hosts = fleet();
    const auto first = *coordinator_of({"quotes"}, hosts);
    leave(hosts, first.value);
    BOOST_TEST(*coordinator_of({"quotes"}, hosts) != first);
    leave(hosts, "");
    BOOST_TEST(!coordinator_of({"quotes"}, hosts).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
