#include "godwitbarrow/routing/owner.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

using namespace godwitbarrow;
using namespace godwitbarrow::routing;

namespace
{

/// Two data centres of four hosts each in one region, and a third one in
/// another region.
std::vector<host_entry> make_hosts()
{
    std::vector<host_entry> hosts;
    for (const std::string data_centre : {"casa1", "casa2", "agadir"})
        for (int n = 0; n < 4; ++n)
            hosts.push_back({{data_centre + "-" + std::to_string(n)},
                             {{data_centre},
                              {data_centre == "agadir" ? "south" : "west"}}});
    return hosts;
}

server_location make_server(int n)
{
    return {{"db-" + std::to_string(n)}, {{"casa1"}, {"west"}}};
}

void mark_leaving(std::vector<host_entry>& hosts, const std::string& prefix)
{
    for (auto& it : hosts)
        if (it.host.value.compare(0, prefix.size(), prefix) == 0)
            it.leaving = true;
}

bool starts_with(const core::host_id& it, const std::string& prefix)
{
    return it.value.compare(0, prefix.size(), prefix) == 0;
}

constexpr int server_count = 1000;

}  // namespace

BOOST_AUTO_TEST_SUITE(hosts_share_the_backend_servers)

// Guards against a hash that differs between versions, which would give a
// backend server two owners during a rolling upgrade.
BOOST_AUTO_TEST_CASE(the_hash_is_the_same_in_every_version)
{
    BOOST_TEST(rendezvous_hash("db-1", "host-1") == 8894467826488036616ULL);
    BOOST_TEST(rendezvous_hash("ab", "c") != rendezvous_hash("a", "bc"));
}

BOOST_AUTO_TEST_CASE(each_of_four_hosts_owns_about_a_quarter)
{
    std::map<core::host_id, int> owned;
    for (int n = 0; n < server_count; ++n)
        ++owned[*owner_of(make_server(n), make_hosts())];
    BOOST_TEST(owned.size() == 4U);
    for (const auto& [host, n] : owned)
        BOOST_TEST((n > server_count / 5 && n < server_count * 3 / 10),
                   host << n);
}

// Guards against the loss of one host changing the owners of servers that it
// did not own.
BOOST_AUTO_TEST_CASE(only_the_servers_of_a_lost_host_change_owner)
{
    auto hosts_after_loss = make_hosts();
    const auto lost = hosts_after_loss.front().host;
    hosts_after_loss.front().suspected = true;
    for (int n = 0; n < server_count; ++n)
    {
        const auto before = owner_of(make_server(n), make_hosts());
        const auto after = owner_of(make_server(n), hosts_after_loss);
        BOOST_TEST((before == lost ? after != lost : after == before));
    }
}

BOOST_AUTO_TEST_SUITE(the_nearest_level_with_a_host_decides)

BOOST_AUTO_TEST_CASE(first_the_data_centre_then_the_region_then_all)
{
    auto hosts = make_hosts();
    BOOST_TEST(starts_with(*owner_of(make_server(1), hosts), "casa1"));
    mark_leaving(hosts, "casa1");
    BOOST_TEST(starts_with(*owner_of(make_server(1), hosts), "casa2"));
    mark_leaving(hosts, "casa2");
    BOOST_TEST(starts_with(*owner_of(make_server(1), hosts), "agadir"));
    mark_leaving(hosts, "agadir");
    BOOST_TEST(!owner_of(make_server(1), hosts).has_value());
}

// Guards against choosing an owner that cannot reach its server.
BOOST_AUTO_TEST_CASE(disconnected_hosts_are_skipped)
{
    const auto first = *owner_of(make_server(1), make_hosts());
    const auto second = *owner_of(make_server(1), make_hosts(), {first});
    BOOST_TEST(second != first);
    std::vector<core::host_id> all;
    for (const auto& it : make_hosts())
        all.push_back(it.host);
    BOOST_TEST(*owner_of(make_server(1), make_hosts(), all) == first);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_coordinator_is_any_usable_host)
{
    auto hosts = make_hosts();
    const auto first = *coordinator_of({"quotes"}, hosts);
    mark_leaving(hosts, first.value);
    BOOST_TEST(*coordinator_of({"quotes"}, hosts) != first);
    mark_leaving(hosts, "");
    BOOST_TEST(!coordinator_of({"quotes"}, hosts).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
