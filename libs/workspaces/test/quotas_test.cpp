#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "godwitbarrow/workspaces/lending.hpp"
#include "godwitbarrow/workspaces/shares.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::workspaces;
using namespace std::chrono_literals;

namespace
{

constexpr auto step = 50ms;
constexpr auto loan_timeout = 300ms;
const core::workspace_id workspace{"clinics"};

struct test_host
{
    share_state shares;
    lender_state lender;
    core::host_id lender_of_group;
    core::time_point frozen_until{};
};

struct message
{
    core::time_point due;
    std::size_t to = 0;
    std::function<void()> deliver;
};

/// Hosts on a virtual clock, with messages that take time or get lost.
struct fleet
{
    core::time_point now{1000s};
    quota limit;
    lending_settings lending;
    std::vector<test_host> hosts;
    std::vector<message> messages;
    std::vector<core::time_point> run;
    unsigned refused = 0;
    /// Delay of the next message; absent if it is lost.
    std::function<std::optional<core::duration>()> delay = []
    {
        return core::duration(step);
    };

    fleet(std::size_t count, quota of) : limit(of)
    {
        lending.window = 5s;
        lending.excess = 0.1;
        lending.slack = 20;
        for (std::size_t n = 0; n < count; ++n)
            add();
        // All have been running for long.
        for (auto& it : hosts)
            it.shares.first_listed = now - 1min;
    }

    static core::host_id name_of(std::size_t n)
    {
        return {"host-" + std::to_string(n)};
    }

    void add()
    {
        hosts.emplace_back();
        restart(hosts.size() - 1);
        list_hosts();
    }

    void restart(std::size_t n)
    {
        auto& it = hosts.at(n);
        it = {};
        it.shares.self = name_of(n);
        it.lender.settings = lending;
        it.lender_of_group = name_of(0);
        // Answers to the process before do not reach this one.
        for (auto& m : messages)
            if (m.to == n)
                m.deliver = [] {
                };
    }

    void list_hosts()
    {
        for (std::size_t n = 0; n < hosts.size(); ++n)
        {
            std::set<core::host_id> others;
            for (std::size_t other = 0; other < hosts.size(); ++other)
                if (other != n)
                    others.insert(name_of(other));
            record_hosts(hosts[n].shares, others, now);
        }
    }

    void send(std::size_t to, std::function<void()> deliver)
    {
        if (const auto time = delay())
            messages.push_back({now + *time, to, std::move(deliver)});
    }

    void ask_for_shares(std::size_t lender)
    {
        const auto asked = now;
        for (std::size_t n = 0; n < hosts.size(); ++n)
            send(n, [=] { answer_share(n, lender, asked); });
    }

    void answer_share(std::size_t n, std::size_t lender, core::time_point asked)
    {
        auto& it = hosts[n];
        if (it.lender_of_group != name_of(lender))
            return;
        const auto share = delegate_share(it.shares, 0, name_of(lender),
                                          lending.delegation, now);
        if (!share)
            return;
        send(lender,
             [=]
             {
                 if (n == lender || is_listed(hosts[lender].shares, name_of(n)))
                     accept_share(hosts[lender].lender, name_of(n), *share,
                                  asked, now);
             });
    }

    /// An operation of a caller at host `n`.
    void request(std::size_t n)
    {
        const auto asked = now;
        const auto name = hosts[n].lender_of_group.value;
        const std::size_t lender = std::stoul(name.substr(name.find('-') + 1));
        send(lender,
             [=]
             {
                 const auto got =
                     lend(hosts[lender].lender, workspace, limit, 1, now);
                 send(n, [=] { finish(got.count, asked); });
             });
    }

    void finish(std::uint32_t count, core::time_point asked)
    {
        if (count > 0 && now - asked < loan_timeout)
            run.push_back(now);
        else
            ++refused;
    }

    void advance()
    {
        now += step;
        std::vector<message> due;
        const auto later = std::stable_partition(
            messages.begin(), messages.end(),
            [&](const message& m)
            {
                const auto& to = hosts[m.to];
                return m.due > now || to.frozen_until > now;
            });
        due.assign(std::make_move_iterator(later),
                   std::make_move_iterator(messages.end()));
        messages.erase(later, messages.end());
        for (auto& m : due)
            m.deliver();
    }

    /// Most operations in any window.
    std::size_t peak() const
    {
        std::size_t out = 0;
        std::size_t first = 0;
        for (std::size_t n = 0; n < run.size(); ++n)
        {
            while (run[n] - run[first] > lending.window)
                ++first;
            out = std::max(out, n - first + 1);
        }
        return out;
    }

    double bound() const
    {
        return (limit.rate * 5 + limit.burst) * (1 + lending.excess) +
               lending.slack;
    }
};

enum class fault
{
    /// Hosts take different ones for the lender.
    split,
    freeze,
    restart,
    growth
};

/// A fleet with random faults and more demand than its quota.
struct disturbed_fleet
{
    std::mt19937 random;
    fleet all;
    /// One of this many messages is lost, and one is late.
    std::size_t loss;
    /// A fault occurs once in this many steps.
    std::map<fault, std::size_t> rarity;

    explicit disturbed_fleet(unsigned seed)
        : random(seed),
          all(1 + pick(12), {static_cast<double>(1 + pick(300)),
                             static_cast<double>(pick(300))}),
          loss(10 + pick(2000))
    {
        constexpr std::array<std::size_t, 3> steps{15, 150, 2000};
        for (const auto kind :
             {fault::split, fault::freeze, fault::restart, fault::growth})
            rarity[kind] = steps.at(pick(steps.size()));
        all.delay = [this]() -> std::optional<core::duration>
        {
            if (pick(loss) == 0)
                return std::nullopt;
            return step * (pick(loss) == 0 ? 1 + pick(60) : 1);
        };
    }

    std::size_t pick(std::size_t below)
    {
        return random() % below;
    }

    std::size_t any_host()
    {
        return pick(all.hosts.size());
    }

    /// Each host takes one of two others for the lender.
    void split_views()
    {
        const auto a = fleet::name_of(any_host());
        const auto b = fleet::name_of(any_host());
        for (auto& it : all.hosts)
            it.lender_of_group = pick(2) == 0 ? a : b;
    }

    bool happens(fault kind)
    {
        return pick(rarity.at(kind)) == 0;
    }

    void disturb()
    {
        const auto n = any_host();
        if (happens(fault::split))
            split_views();
        if (happens(fault::freeze))
            all.hosts[n].frozen_until = all.now + step * (20 + pick(60));
        if (happens(fault::restart))
        {
            all.restart(n);
            all.list_hosts();
        }
        if (happens(fault::growth) && all.hosts.size() < 14)
            all.add();
    }

    void disturb_and_load(unsigned n)
    {
        disturb();
        if (n % 6 == 0)
            for (std::size_t lender = 0; lender < all.hosts.size(); ++lender)
                all.ask_for_shares(lender);
        all.advance();
        const auto demand = static_cast<unsigned>(all.limit.rate / 8) + 4;
        for (unsigned k = 0; k < demand; ++k)
            all.request(k % all.hosts.size());
    }
};

/// Whether all demand below the quota is served while callers come to the hosts
/// that `at` chooses.
void check_demand_below_quota(const std::function<std::size_t(unsigned)>& at)
{
    fleet it(10, {100, 100});
    for (unsigned n = 0; n < 400; ++n)
    {
        if (n % 16 == 0)
            it.ask_for_shares(0);
        it.advance();
        // 80 of 100 operations a second, after the first shares have arrived.
        for (unsigned k = 0; n > 40 && k < 4; ++k)
            it.request(at(n * 4 + k));
    }
    BOOST_TEST(it.refused == 0U);
    BOOST_TEST(it.run.size() > 1400U);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(operations_of_a_workspace)
BOOST_AUTO_TEST_SUITE(below_its_quota)

// Guards against quotas that are divided among hosts, of which a workspace with
// callers on few hosts gets a part.
BOOST_AUTO_TEST_CASE(are_all_run_on_one_host)
{
    check_demand_below_quota([](unsigned) { return 7U; });
}

BOOST_AUTO_TEST_CASE(are_all_run_on_all_hosts)
{
    check_demand_below_quota([](unsigned n) { return n % 10; });
}

BOOST_AUTO_TEST_CASE(are_all_run_while_they_move_between_hosts)
{
    check_demand_below_quota([](unsigned n) { return n / 200 % 10; });
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a lender that lends more after its quota was lowered.
BOOST_AUTO_TEST_CASE(follow_a_lowered_quota)
{
    fleet it(4, {100, 100});
    const auto load = [&](unsigned steps)
    {
        for (unsigned n = 0; n < steps; ++n)
        {
            if (n % 16 == 0)
                it.ask_for_shares(0);
            it.advance();
            for (unsigned k = 0; k < 20; ++k)
                it.request(k % 4);
        }
    };
    load(200);
    it.limit = {20, 20};
    it.run.clear();
    load(200);
    BOOST_TEST(static_cast<double>(it.peak()) <= it.bound());
}

// Hosts that disagree about the lender, messages that are late or lost, hosts
// that are killed, frozen and added. Guards against lenders that lend the same
// share twice.
BOOST_AUTO_TEST_CASE(stay_within_the_quota_whoever_lends)
{
    const auto holds = rc::check(
        []
        {
            disturbed_fleet it(*rc::gen::arbitrary<unsigned>());
            for (unsigned n = 0; n < 400; ++n)
                it.disturb_and_load(n);
            RC_ASSERT(static_cast<double>(it.all.peak()) <= it.all.bound());
        });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
