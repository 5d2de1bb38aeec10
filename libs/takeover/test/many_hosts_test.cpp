#include <boost/test/unit_test.hpp>
#include <functional>

#include "godwitbarrow/takeover/decide.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::takeover;
using namespace std::chrono_literals;

namespace
{

constexpr auto step = 10ms;
constexpr std::size_t host_count = 32;

struct simulated_host
{
    takeover_settings settings;
    takeover_state state;
    /// Whether the host still reaches the primary.
    bool reaches = false;
};

/// Hosts that agree on a takeover through a store, on a virtual clock that
/// starts when the primary stops answering.
struct fleet
{
    std::vector<simulated_host> hosts{host_count};
    std::multimap<std::chrono::milliseconds, std::function<void()>> due;
    std::chrono::milliseconds now{0};
    std::chrono::milliseconds store_delay{4};
    std::optional<claim> last;
    std::uint64_t version = 0;
    std::map<core::host_id, vote> votes;
    std::size_t calls = 0;
    std::optional<std::chrono::milliseconds> claimed;

    fleet()
    {
        for (std::size_t n = 0; n < hosts.size(); ++n)
            hosts[n].settings.self = {"host-" + std::to_string(n)};
    }

    void post(std::size_t n, const event& what)
    {
        const core::time_point time{1000s + now};
        for (const auto& a :
             decide(hosts[n].state, hosts[n].settings, what, time))
            perform(n, a);
    }

    void later(std::chrono::milliseconds time, std::function<void()> action)
    {
        due.emplace(now + time, std::move(action));
    }

    void perform(std::size_t n, const action& what)
    {
        if (const auto* ask = std::get_if<ask_member>(&what))
            later(400ms,
                  [this, n, server = ask->server] {
                      post(n, member_answered{server, std::nullopt});
                  });
        if (std::holds_alternative<read_rows>(what))
            call([this, n] { post(n, rows_read{last, version, votes, now}); });
        if (const auto* write = std::get_if<write_vote>(&what))
            call(
                [this, n, v = write->row]
                {
                    votes[hosts[n].settings.self] = v;
                    post(n, row_written{write_result::done, 0});
                });
        if (const auto* write = std::get_if<write_claim>(&what))
            call([this, n, c = *write] { take_claim(n, c); });
    }

    void call(std::function<void()> action)
    {
        ++calls;
        later(store_delay, std::move(action));
    }

    void take_claim(std::size_t n, const write_claim& what)
    {
        if (what.expected_version != version)
            return post(n, row_written{write_result::conflict, 0});
        last = what.row;
        ++version;
        if (!claimed)
            claimed = now;
        post(n, row_written{write_result::done, version});
    }

    /// Until a host claims the takeover, or the time is over. Hosts notice one
    /// after the other, as their callers need the primary.
    void run_for(std::chrono::milliseconds time)
    {
        for (; now < time && !claimed; now += step)
        {
            for (; !due.empty() && due.begin()->first <= now;
                 due.erase(due.begin()))
                due.begin()->second();
            if (now.count() % 100 != 0)
                continue;
            for (std::size_t n = 0; n < hosts.size(); ++n)
                look(n);
        }
    }

    void look(std::size_t n)
    {
        const auto noticed = 400ms + 20ms * static_cast<int>(n);
        group_view view;
        view.primary = core::server_id{"a"};
        view.candidates = {{"b"}, {"c"}};
        view.live_hosts = hosts.size();
        view.unreachable = !hosts[n].reaches && now >= noticed;
        view.unreachable_for = view.unreachable ? now : 0ms;
        post(n, group_view_updated{std::move(view)});
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(thirty_two_hosts)

// Replays the loss of a primary of kalima-pool-grown. When all votes were in
// one row, the hosts waited for each other and the claim came after 2.2 s.
BOOST_FIXTURE_TEST_CASE(replace_a_primary_that_none_reaches_soon, fleet)
{
    run_for(5s);
    BOOST_REQUIRE(claimed);
    BOOST_TEST((*claimed <= 1500ms));
}

// As in trouble-2 of kalima-pool-grown, where the hosts did not agree in 3.7 s.
BOOST_FIXTURE_TEST_CASE(replace_it_while_the_store_is_slow, fleet)
{
    store_delay = 90ms;
    run_for(5s);
    BOOST_REQUIRE(claimed);
    BOOST_TEST((*claimed <= 2s));
}

BOOST_FIXTURE_TEST_CASE(call_the_store_a_few_times_each, fleet)
{
    run_for(5s);
    BOOST_TEST(calls <= 6 * hosts.size());
}

// Replays inc-bc44 of atlas-pergola-grown: 13 of 29 hosts were cut off from a
// primary that served the others, and its replicas had received nothing for
// seconds. A promotion lost 146 commits that callers had been told of.
BOOST_FIXTURE_TEST_CASE(leave_a_primary_that_most_of_them_reach, fleet)
{
    for (std::size_t n = 15; n < hosts.size(); ++n)
        hosts[n].reaches = true;
    run_for(7s);
    BOOST_TEST(!claimed);
}

// Guards against a group whose primary is never replaced because few hosts have
// callers that need it. The order and the promotion take up to 1.5 s more.
BOOST_FIXTURE_TEST_CASE(replace_it_within_the_limit_if_few_hosts_notice, fleet)
{
    for (std::size_t n = 1; n < hosts.size(); ++n)
        hosts[n].reaches = true;
    run_for(11s);
    BOOST_REQUIRE(claimed);
    BOOST_TEST((*claimed <= 9500ms));
}

BOOST_AUTO_TEST_SUITE_END()
