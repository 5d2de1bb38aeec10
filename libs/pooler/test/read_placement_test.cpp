#include <map>

#include "fixture.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::pooler;
using godwitbarrow::pooler::test::pooler_fixture;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t host_count = 118;

/// One of many hosts in a data centre without a member of the group.
struct distant_host : pooler_fixture
{
    explicit distant_host(std::size_t number = 0)
    {
        members.clear();
        publish();
        pooler_state.settings.host = {"host-" + std::to_string(number)};
        pooler_state.settings.data_centre = {"west"};
        post(host_count_changed{host_count});
        add("a", "north", core::member_role::primary);
        add("b", "east", core::member_role::replica);
        add("c", "south", core::member_role::replica);
        publish();
    }

    /// Lets the host know the log position of the primary. The connection to it
    /// takes as long as given.
    void learn_position(core::duration open_time)
    {
        start(100, "newest");
        read_newest(100, {1, 5});
        pooler_state.groups.at(group).members.at({"a"}).fastest_open =
            open_time;
    }

    /// Opens the connections that a read asks for; each takes as long as given
    /// for its member. Returns the member that runs the read; the primary runs
    /// one that would have to wait for a connection to a replica.
    std::string read(session_number session,
                     const std::map<std::string, core::duration>& open_times)
    {
        start(session, "bounded");
        query(session, verb::read, "READ 1");
        auto sent = first_of<send_to_member>();
        while (const auto opened = first_of<open_connection>())
        {
            now += open_times.at(opened->server.value);
            post(member_connected{opened->connection, std::nullopt});
            if (!sent)
                sent = first_of<send_to_member>();
        }
        BOOST_REQUIRE(sent);
        auto server = server_of(sent->connection);
        succeed(sent->connection, {1, 5}, session_state::idle, "signed");
        return server;
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(reads_of_hosts_without_a_member_in_their_data_centre)

// Reproduces quiet-1 of atlas-pergola-large: all 118 hosts chose the replica
// with the lowest name, which accepts 88 connections, and turned each other
// away.
BOOST_AUTO_TEST_CASE(spread_over_the_replicas)
{
    std::map<std::string, std::size_t> chosen;
    const std::map<std::string, core::duration> equal{
        {"a", 12ms}, {"b", 12ms}, {"c", 12ms}};
    for (std::size_t n = 0; n < host_count; ++n)
    {
        distant_host it(n);
        it.learn_position(12ms);
        it.read(1, equal);
        ++chosen[it.read(2, equal)];
    }
    BOOST_TEST(chosen["b"] <= 88U);
    BOOST_TEST(chosen["c"] <= 88U);
    BOOST_TEST(chosen["b"] + chosen["c"] == host_count);
}

// Guards against a new connection for each read.
BOOST_FIXTURE_TEST_CASE(stay_on_one_replica, distant_host)
{
    learn_position(12ms);
    const std::map<std::string, core::duration> equal{
        {"a", 12ms}, {"b", 12ms}, {"c", 12ms}};
    read(1, equal);
    const auto first = read(2, equal);
    for (session_number n = 3; n < 10; ++n)
    {
        BOOST_TEST(read(n, equal) == first);
        BOOST_TEST(!first_of<open_connection>());
    }
}

BOOST_AUTO_TEST_SUITE(when_a_replica_is_nearer_than_the_other)

// Guards against reads that cross regions although a replica of the region has
// the data: data centres of one region have different names.
BOOST_AUTO_TEST_CASE(go_to_the_near_one)
{
    const std::map<std::string, core::duration> open_times{
        {"a", 60ms}, {"b", 60ms}, {"c", 13ms}};
    for (std::size_t n = 0; n < 8; ++n)
    {
        distant_host it(n);
        it.learn_position(60ms);
        // Each member is measured when it is connected to for the first time.
        it.read(1, open_times);
        it.read(2, open_times);
        it.read(3, open_times);
        BOOST_TEST(it.read(4, open_times) == "c");
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
