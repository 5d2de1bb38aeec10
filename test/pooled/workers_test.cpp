#include "deployment.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::test;

BOOST_AUTO_TEST_SUITE(a_host_on_the_platform)

BOOST_AUTO_TEST_SUITE(with_several_workers)

struct busy_deployment : deployment
{
    busy_deployment() : deployment(4) {}
};

/// Opens connections to the primary from several threads, as workers do.
struct opening_deployment : busy_deployment
{
    static constexpr std::size_t threads = 8;
    /// By one thread in one round; all of a round stay below the usual limit of
    /// 1024 descriptors.
    static constexpr std::size_t opened = 40;
    /// Above the numbers that the host uses itself.
    pooler::connection_number next = 1'000'000;

    void open_some(pooler::connection_number from)
    {
        for (auto n = from; n < from + opened; ++n)
            proxy::pooled::open(
                *host, {n, {"quotes"}, {"a"}, local(members[0]->port())});
    }

    void open_round()
    {
        std::vector<std::thread> openers;
        openers.reserve(threads);
        for (std::size_t n = 0; n < threads; ++n)
            openers.emplace_back([this, from = next + n * opened]
                                 { open_some(from); });
        for (auto& t : openers)
            t.join();
    }

    void close_round()
    {
        for (std::size_t n = 0; n < threads * opened; ++n)
            proxy::pooled::close_member(*host, next++);
    }

    std::size_t started()
    {
        std::size_t out = 0;
        at_standins([&] { out = members[0]->started; });
        return out;
    }
};

// Guards against a connection to a member on which nothing is ever sent: it was
// established on another worker before it was registered, so its startup was
// lost and it timed out (soak seed 15).
BOOST_FIXTURE_TEST_CASE(starts_each_connection_to_a_member, opening_deployment)
{
    constexpr std::size_t rounds = 12;
    for (std::size_t n = 1; n <= rounds; ++n)
    {
        open_round();
        wait_until([&] { return started() >= n * threads * opened; });
        close_round();
    }
}

// Guards against a host that crashes while members are replaced: the list of
// members was changed by the answers of the store and by timers on different
// workers (review case 9). ThreadSanitizer reports it.
BOOST_FIXTURE_TEST_CASE(follows_members_that_are_replaced, busy_deployment)
{
    // Removed members are dropped after a delay, so that timers and changes
    // overlap.
    const auto end = std::chrono::steady_clock::now() + 4s;
    for (int n = 0; std::chrono::steady_clock::now() < end; ++n)
    {
        const auto id = "x" + std::to_string(n);
        at_standins([&] { store.put("servers", id, odd_entry("2", "8080")); });
        std::this_thread::sleep_for(2ms);
        at_standins([&] { store.remove("servers", id); });
    }
    wait_until([this] { return member_count() == 3; });
}

// Guards against answers that reach another session, and data races.
BOOST_FIXTURE_TEST_CASE(keeps_sessions_apart, busy_deployment)
{
    constexpr int caller_count = 8;
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    std::atomic<int> wrong{0};
    for (int n = 0; n < caller_count; ++n)
        callers.emplace_back(
            [&, n]
            {
                caller it(port, "own");
                it.line();
                const auto item = std::to_string(n);
                for (int i = 0; i < 50; ++i)
                {
                    const auto value = item + "-" + std::to_string(i);
                    std::string write = "WRITE ";
                    write.append(item).append(" ").append(value);
                    const auto written = it.query(write);
                    const auto read = it.query("READ " + item);
                    if (written != "DONE sig | READY I -" ||
                        read != "ROW " + value + " | DONE sig | READY I -")
                        ++wrong;
                }
            });
    for (auto& t : callers)
        t.join();
    BOOST_TEST(wrong.load() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
