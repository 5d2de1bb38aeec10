#include "fleet.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::test;

namespace
{

constexpr int many_routes = 1400;
/// Bytes that may be on their way to all other hosts together.
constexpr std::uint64_t most_bytes_under_way = std::uint64_t{64} * 1024;

/// Six hosts of one data centre, two of which read the store.
struct six_hosts : fleet
{
    six_hosts()
    {
        start_all(
            {"north-1", "north-2", "north-3", "north-4", "north-5", "north-6"});
        wait_until([this] { return that_read(true).size() == 2; });
    }

    bool all_have(const std::vector<std::string>& names, std::uint64_t version)
    {
        return std::all_of(names.begin(), names.end(),
                           [&](const auto& name)
                           { return hosts[name]->configuration() == version; });
    }

    /// What the host has handed to its links, but for heartbeats.
    std::uint64_t bytes_sent_by(const std::string& name)
    {
        std::uint64_t out = 0;
        for (const auto& link :
             proxy::pooled::list_link_loads(*hosts[name]->app))
            for (const auto& [topic, bytes] : link.sent)
                if (topic != peer::topic::hosts)
                    out += bytes;
        return out;
    }

    std::uint64_t bytes_sent()
    {
        std::uint64_t out = 0;
        for (const auto& [name, host] : hosts)
            out += bytes_sent_by(name);
        return out;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_large_configuration, six_hosts)

// Guards against links that are filled with copies of one text: both readers
// of a data centre pushed it to each host, and another host sent it once more.
BOOST_AUTO_TEST_CASE(is_sent_to_each_host_once)
{
    const auto before = bytes_sent();
    const auto size = write_configuration(2, many_routes);
    wait_until(
        [&] {
            return all_have(that_read(true), 2) &&
                   all_have(that_read(false), 2);
        });
    // Long enough for a copy that is asked for again.
    std::this_thread::sleep_for(1s);
    const auto copies = that_read(false).size();
    BOOST_TEST(bytes_sent() - before < copies * size + size / 2);
}

// Guards against statements and heartbeats that wait behind copies for other
// hosts (LOST): all links of a host share its network interface.
BOOST_AUTO_TEST_CASE(fills_no_link_while_hosts_do_not_take_it)
{
    const auto readers = that_read(true);
    const auto others = that_read(false);
    for (const auto& name : others)
        hosts[name]->freeze();
    std::vector<std::uint64_t> before;
    before.reserve(readers.size());
    for (const auto& name : readers)
        before.push_back(bytes_sent_by(name));
    write_configuration(2, many_routes);
    wait_until([&] { return all_have(readers, 2); });
    std::this_thread::sleep_for(500ms);
    for (std::size_t n = 0; n < readers.size(); ++n)
        BOOST_TEST(bytes_sent_by(readers[n]) - before[n] <
                   most_bytes_under_way);
    for (const auto& name : others)
        hosts[name]->thaw();
    wait_until([&] { return all_have(others, 2); });
}

BOOST_AUTO_TEST_SUITE_END()
