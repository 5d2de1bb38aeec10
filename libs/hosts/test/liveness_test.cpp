#include "godwitbarrow/hosts/liveness.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace std::chrono_literals;

namespace
{

struct seen_hosts
{
    core::time_point now{1h};
    hosts::liveness_settings settings;
    hosts::liveness known;
    hosts::table_copy table;

    seen_hosts()
    {
        settings.self = {"north-1"};
        settings.data_centre = {"north"};
        for (const auto* name : {"north-1", "north-2", "south-1", "south-2"})
            write_row(name);
        read();
    }

    void write_row(const std::string& name)
    {
        hosts::peer_host it;
        it.data_centre = {name.substr(0, name.find('-'))};
        it.address = {"10.1.0.1", 7441};
        table.rows[name] = {name, hosts::encode_host(it), ++table.version,
                            false};
    }

    void read()
    {
        table.known = true;
        table.confirmed = now;
        hosts::note_rows(known, table, now);
    }

    void hear(const std::string& name, bool leaving = false)
    {
        hosts::note_heard(known, {name}, leaving, now);
    }

    std::size_t live() const
    {
        return hosts::count_live(known, settings, now);
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(the_hosts_of_a_deployment)

BOOST_FIXTURE_TEST_SUITE(as_one_of_them_sees_them, seen_hosts)

// Guards against shares that count the rows of hosts that are gone.
BOOST_AUTO_TEST_CASE(count_for_a_limited_time_because_of_a_row)
{
    BOOST_TEST(live() == 4);
    now += 9s;
    hear("south-1");
    now += 600ms;
    BOOST_TEST(live() == 2);
    // The same rows, read again, show no life.
    read();
    BOOST_TEST(live() == 2);
    write_row("south-2");
    read();
    BOOST_TEST(live() == 3);
}

// Guards against a dead host whose sign grows young on its way round.
BOOST_AUTO_TEST_CASE(are_passed_on_with_the_age_of_their_sign)
{
    hear("south-1");
    hear("north-2", true);
    now += 4s;
    const auto signs = hosts::signs_of(known, settings, false, now);
    BOOST_REQUIRE(signs.size() == 2);
    BOOST_TEST((signs[0].age == 4s));
    BOOST_TEST(hosts::signs_of(known, settings, true, now).size() == 1);
    // Rows that were only found say nothing of when their hosts lived.
    for (const auto& n : signs)
        BOOST_TEST(n.host.value != "south-2");
    hosts::liveness other;
    hosts::note_signs(other, signs, now);
    now += 5s;
    hosts::note_signs(other, hosts::signs_of(other, {}, false, now), now);
    now += 600ms;
    BOOST_TEST(hosts::signs_of(other, {}, false, now).empty());
}

BOOST_AUTO_TEST_CASE(are_listed_as_leaving_until_they_start_again)
{
    hear("north-2", true);
    const auto leaving = [this]
    {
        for (const auto& n : hosts::live_hosts(known, settings, now))
            if (n.host.value == "north-2")
                return n.leaving;
        return false;
    };
    BOOST_TEST(leaving());
    now += 1s;
    hear("north-2");
    BOOST_TEST(!leaving());
}

// Guards against a data centre that is counted out because only its links to
// the others are cut.
BOOST_AUTO_TEST_CASE(tell_by_the_store_that_they_live_when_links_are_cut)
{
    now += 4s;
    hear("north-2");
    hear("south-2");
    now += 3s;
    BOOST_TEST(!hosts::is_apart(known, settings, now));
    now += 2s;
    hear("north-2");
    BOOST_TEST(hosts::is_apart(known, settings, now));
    // Of a data centre that is dead nothing more is expected.
    now += 5s;
    hear("north-2");
    BOOST_TEST(!hosts::is_apart(known, settings, now));
}

// Guards against a host that no host learns of since the store lost its row.
BOOST_AUTO_TEST_CASE(write_their_rows_again_if_the_store_lost_them)
{
    const core::host_id self{"north-1"};
    BOOST_TEST(!hosts::lost_row(table, self, now - 1s));
    table.rows.erase("north-1");
    BOOST_TEST(hosts::lost_row(table, self, now - 1s));
    BOOST_TEST(!hosts::lost_row(table, self, now + 1s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
