#include "deployment.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::test;

namespace
{

/// Limit of the platform for applying a configuration.
constexpr auto configuration_bound = 3s;

}  // namespace

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

BOOST_AUTO_TEST_SUITE_END()
