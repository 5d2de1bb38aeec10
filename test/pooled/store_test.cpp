#include "deployment.hpp"
#include "pooled/table_watch.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::test;

namespace
{

/// Limit of the platform for applying a configuration.
constexpr auto configuration_bound = 3s;

}  // namespace

BOOST_AUTO_TEST_SUITE(a_call_that_waits_for_changes)

// Guards against calls whose loss hides a change for longer than a deployment
// allows; 1500 ms is the least limit that the command line accepts.
BOOST_AUTO_TEST_CASE(is_given_up_and_repeated_within_any_limit)
{
    constexpr auto pause_and_repeated_call = 800ms;
    for (auto limit = 1500ms; limit <= 10s; limit += 100ms)
    {
        const auto times = proxy::pooled::watch_times_for(limit);
        BOOST_TEST(
            (times.wait + times.answer + pause_and_repeated_call <= limit));
        BOOST_TEST((times.wait >= 200ms));
        BOOST_TEST((times.answer >= 300ms));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_host_on_the_platform)

BOOST_AUTO_TEST_SUITE(when_the_store_is_away)

BOOST_FIXTURE_TEST_CASE(serves_on_with_what_it_knows, deployment)
{
    at_standins([&] { store.faults.down = true; });
    caller it(port, "newest");
    it.line();
    BOOST_TEST(it.query("WRITE 1 x") == "DONE sig | READY I -");
    BOOST_TEST(host->ready.load());
}

// Reproduces soak seed 402: a call to the store was repeated on a connection
// that had gone silent while the store refused calls. It was noticed only after
// the time for which the store holds a call, and the host missed a route.
BOOST_FIXTURE_TEST_CASE(follows_it_within_the_bound_after_silent_connections,
                        deployment)
{
    at_standins(
        [&]
        {
            store.put("op", "other", "ends the call that is held");
            store.faults.down = true;
        });
    std::this_thread::sleep_for(500ms);
    at_standins(
        [&]
        {
            standins::silence_sessions(store.server, nullptr);
            store.faults.down = false;
            configure(2);
        });
    const auto before = std::chrono::steady_clock::now();
    wait_until([&] { return configured_version() == 2; });
    BOOST_TEST(
        (std::chrono::steady_clock::now() - before < configuration_bound));
}

// Guards against a configuration that stays unknown for longer than the
// platform allows: the connection to the store goes silent just after a call
// that waits for changes was sent (review case 10).
BOOST_FIXTURE_TEST_CASE(follows_it_within_the_limit_after_a_lost_call,
                        deployment)
{
    at_standins([&]
                { store.put("op", "other", "ends the call that is held"); });
    wait_until([&] { return awaits_changes("op"); });
    const auto lost = std::chrono::steady_clock::now();
    at_standins([&] { standins::silence_sessions(store.server, nullptr); });
    at_standins([&] { configure(2); });
    wait_until([&] { return configured_version() == 2; });
    BOOST_TEST((std::chrono::steady_clock::now() - lost <
                host->settings.change_limit));
}

BOOST_FIXTURE_TEST_CASE(reads_anew_what_it_missed, deployment)
{
    at_standins(
        [&]
        {
            store.history_lost = true;
            configure(2);
        });
    wait_until([&] { return configured_version() == 2; });
}

BOOST_FIXTURE_TEST_CASE(ignores_entries_of_other_writers, deployment)
{
    at_standins(
        [&]
        {
            store.put("servers", "x", "\xff\x01 no entry");
            store.put("servers", "y", R"({"service":3})");
            store.put("servers", "nested",
                      std::string(100'000, '[') + std::string(100'000, ']'));
            store.put("servers", "large", odd_entry("1e400", "8080"));
            store.put("servers", "port", odd_entry("2", "65536"));
            store.put("servers", "zero", odd_entry("2", "0"));
            configure(3);
        });
    wait_until([&] { return configured_version() == 3; });
    BOOST_TEST(member_count() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_store_comes_back_from_a_copy)

struct restored_deployment : deployment
{
    std::uint64_t copied = 0;

    restored_deployment()
    {
        wait_until([&] { return has_row("hosts", "host-1"); });
        at_standins(
            [&]
            {
                copied = store.version;
                configure(2);
            });
        wait_until([&] { return configured_version() == 2; });
    }

    bool has_row(const std::string& table, const std::string& key)
    {
        bool out = false;
        at_standins([&] { out = store.tables[table].count(key) > 0; });
        return out;
    }

    void restore(std::uint64_t to)
    {
        at_standins([&] { store.roll_back_to(to); });
    }
};

// Guards against a configuration that goes back: a table that is read anew
// holds the one before.
BOOST_FIXTURE_TEST_CASE(keeps_the_newest_configuration, restored_deployment)
{
    restore(copied);
    wait_until([&] { return host->store.newest_era.load() == 2; });
    wait_until([&] { return awaits_changes("op"); });
    BOOST_TEST(configured_version() == 2U);
    at_standins([&] { configure(3); });
    wait_until([&] { return configured_version() == 3; });
}

// Guards against changes of the members that stay unknown since their versions
// are below those of the earlier era.
BOOST_FIXTURE_TEST_CASE(takes_registrations_of_lower_versions,
                        restored_deployment)
{
    restore(copied);
    wait_until([&] { return host->store.newest_era.load() == 2; });
    at_standins([&] { register_member(*members.back(), true); });
    wait_until([&] { return leaves("c"); });
}

// Guards against a host that others do not count until it writes again.
BOOST_FIXTURE_TEST_CASE(writes_the_row_of_the_host_again, restored_deployment)
{
    restore(0);
    wait_until([&] { return has_row("hosts", "host-1"); });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
