#include "fleet.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::test;

namespace
{

/// Longest time until a configuration has to be in force.
constexpr auto configuration_bound = 5s;

const std::vector<std::string> four_hosts{"north-1", "north-2", "north-3",
                                          "north-4"};

/// Four hosts of one data centre, two of which read the store.
struct one_data_centre : fleet
{
    one_data_centre()
    {
        start_all(four_hosts);
    }

    bool all_have(std::uint64_t version)
    {
        return std::all_of(hosts.begin(), hosts.end(),
                           [&](const auto& n)
                           { return n.second->configuration() == version; });
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(hosts_that_are_linked)

BOOST_FIXTURE_TEST_SUITE(in_one_data_centre, one_data_centre)

// Guards against calls to the store that grow with the hosts.
BOOST_AUTO_TEST_CASE(leave_the_store_to_two_of_them)
{
    wait_until([this] { return that_read(true).size() == 2; });
    // Calls of those that stopped are held for another 3 s.
    std::this_thread::sleep_for(4s);
    std::size_t before = 0;
    at_store([&] { before = store.calls; });
    write_configuration(2);
    wait_until([this] { return all_have(2); }, 1000ms);
    std::this_thread::sleep_for(4s);
    std::size_t after = 0;
    at_store([&] { after = store.calls; });
    // Two readers of three tables, one held call ended early.
    BOOST_TEST(after - before <= 14);
}

// Guards against hosts that miss a configuration because both of their readers
// are frozen: the connections of a frozen process stay open.
BOOST_AUTO_TEST_CASE(read_for_themselves_when_their_readers_freeze)
{
    const auto readers = that_read(true);
    const auto others = that_read(false);
    for (const auto& name : readers)
        hosts[name]->freeze();
    write_configuration(2);
    wait_until(
        [&]
        {
            return std::all_of(others.begin(), others.end(),
                               [&](const auto& name)
                               { return hosts[name]->configuration() == 2; });
        },
        configuration_bound);
    // Guards against shares that count the frozen hosts on and on.
    wait_until([&] { return hosts[others[0]]->live_hosts() == 2; }, 11s);
    for (const auto& name : readers)
        hosts[name]->thaw();
    wait_until([this] { return all_have(2) && all_settled(); });
}

BOOST_AUTO_TEST_CASE(know_one_that_was_replaced_at_a_new_address)
{
    const auto reader = that_read(true).front();
    hosts.erase(reader);
    start(reader);
    wait_until([this] { return all_settled(); });
    write_configuration(2);
    wait_until([this] { return all_have(2); }, configuration_bound);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a host that the store turns away and that learns nothing: it
// went on with withdrawn routes.
BOOST_FIXTURE_TEST_CASE(tell_what_they_read_to_one_that_is_turned_away, fleet)
{
    start("south-1", true);
    start_all({"north-1", "north-2"});
    at_store([this] { store.side_refuses = true; });
    write_configuration(2);
    wait_until([this] { return hosts["south-1"]->configuration() == 2; },
               configuration_bound);
    BOOST_TEST(hosts["south-1"]->live_hosts() == 3);
}

BOOST_AUTO_TEST_SUITE(before_they_send_anything_under_a_configuration)

struct two_hosts : fleet
{
    std::atomic<std::size_t> taken{0};
    std::atomic<bool> too_early{false};

    two_hosts()
    {
        start("north-1");
        start("north-2", true, [this](auto& to) { expect_messages(to); });
        wait_until([this] { return all_settled(); });
        at_store([this] { store.side_refuses = true; });
    }

    ~two_hosts()
    {
        hosts.clear();
    }

    /// Messages hold the version that their sender had in force.
    void expect_messages(proxy::pooled::app& to)
    {
        proxy::pooled::on_host_message(
            to, peer::topic::quotas,
            [&](const core::host_id& from, std::string_view bytes)
            {
                const auto version = std::stoull(std::string(bytes));
                if (proxy::pooled::version_told_by(to, from) < version)
                    too_early = true;
                ++taken;
            });
    }
};

// Guards against statements that run at their owner under an older version than
// the host of the caller has used.
BOOST_FIXTURE_TEST_CASE(tell_its_version, two_hosts)
{
    constexpr std::size_t rounds = 20;
    auto& from = *hosts["north-1"];
    for (std::size_t n = 2; n < 2 + rounds; ++n)
    {
        write_configuration(static_cast<int>(n));
        wait_until([&] { return from.configuration() == n; });
        BOOST_TEST(proxy::pooled::send_to_host(
            *from.app, {"north-2"}, peer::topic::quotas, std::to_string(n)));
    }
    wait_until([&] { return taken == rounds; });
    BOOST_TEST(!too_early);
    auto& to = *hosts["north-2"]->app;
    wait_until([&] { return proxy::pooled::is_as_new_as(to, {"north-1"}); },
               1000ms);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
