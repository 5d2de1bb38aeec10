#include "owner_fleet.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::test;

BOOST_AUTO_TEST_SUITE(a_host_that_owns_no_share_of_a_group)

BOOST_FIXTURE_TEST_CASE(relays_the_sessions_of_its_callers, owner_fleet)
{
    caller it(port_of(entry()), "newest");
    BOOST_TEST(it.line() == "READY I -");
    BOOST_TEST(it.query("SET encoding utf8") == "DONE - | READY I -");
    BOOST_TEST(it.query("WRITE 1 x") == "DONE sig | READY I -");
    BOOST_TEST(it.query("BEGIN") == "DONE - | READY T -");
    BOOST_TEST(it.query("WRITE 2 y") == "DONE sig | READY T -");
    BOOST_TEST(it.query("READ 1") == "ROW x | DONE sig | READY T -");
    BOOST_TEST(it.query("COMMIT") == "DONE sig | READY I -");
    const std::string large(300'000, 'z');
    BOOST_TEST(it.query("WRITE 3 " + large) == "DONE sig | READY I -");
    BOOST_TEST(
        (it.query("READ 3") == "ROW " + large + " | DONE sig | READY I -"));
    BOOST_TEST(member_connections(entry()) == 0U);
    caller unknown(port_of(entry()), "elsewhere");
    BOOST_TEST(unknown.line().rfind("ERROR NODB", 0) == 0U);
    BOOST_TEST(unknown.line() == "closed");
    it.write("TERMINATE");
    BOOST_TEST(it.line() == "closed");
}

BOOST_AUTO_TEST_SUITE(when_the_owner_is_lost)

// Guards against a write that is sent to a second owner and takes effect twice.
BOOST_FIXTURE_TEST_CASE(disconnects_its_callers_and_repeats_nothing,
                        owner_fleet)
{
    caller it(port_of(entry()), "newest");
    it.line();
    it.query("BEGIN");
    it.query("WRITE 1 x");
    stop(owner_in_use());
    BOOST_TEST(it.line() == "closed");
    caller next(port_of(entry()), "newest");
    next.line();
    wait_until([&]
               { return next.query("WRITE 1 y") == "DONE sig | READY I -"; });
    BOOST_TEST(next.query("READ 1") == "ROW y | DONE sig | READY I -");
    BOOST_TEST(writes() <= 2U);
}

// Guards against callers that wait for an owner which is frozen or cut off:
// its link stays open.
BOOST_FIXTURE_TEST_CASE(or_frozen_answers_and_disconnects_them, owner_fleet)
{
    caller it(port_of(entry()), "newest");
    it.line();
    it.query("WRITE 1 x");
    std::promise<void> thaw;
    asio::post(owner_in_use().app->io, [&] { thaw.get_future().wait(); });
    it.write("QUERY 5c0e7a21 READ 1");
    BOOST_TEST(it.line().rfind("ERROR ABORTED ", 0) == 0U);
    BOOST_TEST(it.line() == "READY I -");
    BOOST_TEST(it.line() == "closed");
    caller next(port_of(entry()), "newest");
    BOOST_TEST(next.line() == "READY I -");
    thaw.set_value();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_host_is_told_to_stop)

struct open_transaction : owner_fleet
{
    caller idle{port_of(entry()), "newest"};
    caller it{port_of(entry()), "newest"};

    open_transaction()
    {
        idle.line();
        idle.query("SET encoding utf8");
        it.line();
        it.query("BEGIN");
        it.query("WRITE 1 x");
    }

    void stop_and_check(running_host& at)
    {
        asio::post(at.app->io, [&] { proxy::pooled::shut_down(*at.app); });
        BOOST_TEST(idle.line() == "closed");
        BOOST_TEST(it.query("COMMIT") == "DONE sig | READY I -");
        BOOST_TEST(it.line() == "closed");
        wait_until([&] { return at.app->io.stopped(); });
    }
};

// Guards against transactions that are cut off because their owner does not
// know of the shutdown, or because the entry host does not wait for it.
BOOST_FIXTURE_TEST_CASE(finishes_its_sessions_at_the_owner, open_transaction)
{
    stop_and_check(entry());
    BOOST_TEST(writes() == 1U);
}

// Guards against statements that an owner loses while it shuts down, and
// against new sessions that it is given.
BOOST_FIXTURE_TEST_CASE(finishes_the_sessions_of_other_hosts, open_transaction)
{
    auto& owner = *std::find_if(hosts.begin(), hosts.end(),
                                [](const auto& n)
                                {
                                    std::lock_guard lock(n.app->relays.mutex);
                                    return !n.app->relays.inbound.empty();
                                });
    // The host that is no owner so far takes the place of the one that stops.
    auto& successor = entry();
    stop_and_check(owner);
    caller next(port_of(successor), "newest");
    next.line();
    BOOST_TEST(next.query("READ 1") == "ROW x | DONE sig | READY I -");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_owners_of_a_group_that_loses_its_primary)

// Guards against a primary that is replaced late: hosts that own no share of
// the group see nothing of it, and their votes were waited for.
BOOST_FIXTURE_TEST_CASE(replace_it_without_votes_of_other_hosts, owner_fleet)
{
    BOOST_TEST(proxy::pooled::count_owners(*entry().app, group).value_or(0) ==
               3U);
    const auto all = owners();
    caller first(port_of(*all[0]), "newest");
    caller second(port_of(*all[1]), "newest");
    for (auto* it : {&first, &second})
    {
        it->line();
        it->query("WRITE 1 x");
    }
    at_standins([&] { members[0]->dark = true; });
    const auto lost_at = std::chrono::steady_clock::now();
    wait_until(
        [&]
        {
            first.query("WRITE 1 y");
            return second.query("WRITE 1 y") == "DONE sig | READY I -";
        });
    const auto took = std::chrono::steady_clock::now() - lost_at;
    BOOST_TEST((took < takeover::takeover_settings{}.solo_claim_delay));
}

BOOST_AUTO_TEST_SUITE_END()
