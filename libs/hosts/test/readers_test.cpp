#include "godwitbarrow/hosts/readers.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace std::chrono_literals;

namespace
{

hosts::peer_host host_named(const std::string& name)
{
    hosts::peer_host it;
    it.host = {name};
    it.data_centre = {name.substr(0, name.find('-'))};
    return it;
}

/// A host beside eight others in two data centres, of which it is no reader.
struct following_host
{
    core::time_point now{1h};
    hosts::reader_settings settings;
    hosts::reader_state state;
    std::vector<hosts::peer_host> others;
    std::vector<core::host_id> readers;
    bool answered = true;

    following_host()
    {
        std::vector<hosts::peer_host> all;
        for (const auto* name : {"north-1", "north-2", "north-3", "north-4",
                                 "north-5", "south-1", "south-2", "south-3"})
            all.push_back(host_named(name));
        readers = hosts::readers_of({"north"}, all);
        settings.self = last_of(all);
        for (const auto& it : all)
            if (it.host != settings.self.host)
                others.push_back(it);
    }

    /// The host that is to read last, of five.
    static hosts::peer_host last_of(std::vector<hosts::peer_host> all)
    {
        const auto drop = [&](const core::host_id& host)
        {
            all.erase(
                std::remove_if(all.begin(), all.end(),
                               [&](const auto& n) { return n.host == host; }),
                all.end());
        };
        for (int pairs = 0; pairs < 2; ++pairs)
            for (const auto& host : hosts::readers_of({"north"}, all))
                drop(host);
        return host_named(hosts::readers_of({"north"}, all)[0].value);
    }

    hosts::reader_role choose()
    {
        return hosts::choose_role(state, settings, others, answered, now);
    }

    void hear(const core::host_id& host, bool reads_store = true)
    {
        hosts::note_status(state, host, reads_store, now);
    }

    /// Hears the readers each second.
    hosts::reader_role pass(std::chrono::seconds time, bool first = true,
                            bool second = true, bool reads_store = true)
    {
        auto out = choose();
        for (auto n = 0s; n < time; n += 1s)
        {
            now += 1s;
            if (first)
                hear(readers[0], reads_store);
            if (second)
                hear(readers[1], reads_store);
            out = choose();
        }
        return out;
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(the_readers_of_a_data_centre)

BOOST_FIXTURE_TEST_SUITE(for_a_host_that_is_none, following_host)

BOOST_AUTO_TEST_CASE(are_two_that_it_keeps_links_to)
{
    const auto role = choose();
    BOOST_TEST(!role.appointed);
    BOOST_TEST(role.wants_rows);
    BOOST_TEST((role.links == std::set<core::host_id>{readers[0], readers[1]}));
}

BOOST_AUTO_TEST_CASE(read_the_store_for_it)
{
    BOOST_TEST(!choose().reading);
    BOOST_TEST(!pass(5s).reading);
}

BOOST_AUTO_TEST_CASE(read_for_it_unless_they_are_silent_at_its_start)
{
    choose();
    now += 2500ms;
    BOOST_TEST(choose().reading);
    BOOST_TEST(!pass(5s).reading);
}

// Guards against hosts that miss a configuration because their readers froze:
// the connections of a frozen process stay open.
BOOST_AUTO_TEST_CASE(are_passed_over_once_they_are_silent)
{
    pass(5s);
    now += 2500ms;
    auto role = choose();
    BOOST_TEST(!role.links.empty());
    now += 500ms;
    BOOST_TEST(choose().reading);
    BOOST_TEST(role.links.count(readers[0]) + role.links.count(readers[1]) ==
               0);
    hear(readers[1]);
    role = choose();
    BOOST_TEST(role.links.count(readers[1]) == 1);
}

BOOST_AUTO_TEST_CASE(serve_it_on_if_one_of_them_is_left)
{
    pass(5s);
    BOOST_TEST(!pass(8s, true, false).reading);
}

// Guards against a data centre that learns nothing when the store turns only
// its readers away.
BOOST_AUTO_TEST_CASE(are_not_waited_for_if_the_store_turns_them_away)
{
    pass(5s);
    hear(readers[0], false);
    BOOST_TEST(!choose().reading);
    hear(readers[1], false);
    // One lost answer is no reason yet.
    BOOST_TEST(!choose().reading);
    now += 500ms;
    BOOST_TEST(choose().reading);
    BOOST_TEST(!pass(5s).reading);
}

// Guards against two hosts that read by turns for every late heartbeat.
BOOST_AUTO_TEST_CASE(are_heard_for_a_while_before_it_stops_reading)
{
    choose();
    now += 2500ms;
    BOOST_TEST(choose().reading);
    hear(readers[0]);
    now += 1s;
    hear(readers[0]);
    BOOST_TEST(choose().reading);
}

BOOST_AUTO_TEST_CASE(are_replaced_when_they_leave)
{
    for (auto& it : others)
        it.leaving = it.host == readers[0];
    const auto role = choose();
    BOOST_TEST(role.links.count(readers[0]) == 0);
    BOOST_TEST(role.links.size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(for_one_of_them, following_host)

// Guards against data centres that do not hear of each other, and against a
// number of links that grows with the hosts.
BOOST_AUTO_TEST_CASE(link_to_the_first_of_each_other_data_centre)
{
    others.push_back(settings.self);
    const auto take_part_of = [this](const core::host_id& host)
    {
        const auto n =
            std::find_if(others.begin(), others.end(),
                         [&](const auto& it) { return it.host == host; });
        settings.self = *n;
        others.erase(n);
    };
    take_part_of(readers[0]);
    const auto first = choose();
    BOOST_TEST(first.appointed);
    BOOST_TEST(!first.wants_rows);
    BOOST_TEST(first.links.size() == 2);
    BOOST_TEST(first.links.count(hosts::readers_of({"south"}, others)[0]) == 1);

    others.push_back(settings.self);
    take_part_of(readers[1]);
    state = {};
    BOOST_TEST(choose().links.size() == 1);
    answered = false;
    BOOST_TEST(choose().wants_rows);
    BOOST_TEST(choose().reading);
}

BOOST_AUTO_TEST_CASE(are_all_hosts_where_there_are_no_more_than_two)
{
    settings.self = host_named("north-1");
    others = {host_named("north-2"), host_named("south-1")};
    BOOST_TEST(choose().appointed);
    others = {};
    BOOST_TEST(choose().appointed);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
