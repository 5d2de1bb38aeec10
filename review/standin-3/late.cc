#include "world.hh"

/// An order for a promotion that got no answer is carried out after the
/// replicas of a service with synchronous replicas receive again.

using namespace review;

namespace
{

/// The primary is down for this long.
constexpr auto primary_down = 2500ms;
/// The platform answers no order that is sent within this time after the crash
/// and carries out each of them this much later.
constexpr auto platform_slow = 3500ms;
constexpr auto late = 12s;
constexpr int writers = 12;

struct trial
{
    explicit trial(const std::string& record_path) : record(record_path)
    {
        group_settings s;
        s.slots = 5;
        s.work = 8ms;
        s.synchronous_replicas = 1;
        s.connections = 55;
        g = std::make_unique<group>(io, record, platform, "ledger", s);
        // The one that is promoted is in another region.
        g->members.at("i-ledgerb")->distance = 60ms;
        g->members.at("i-ledgerc")->distance = 2ms;
        g->led = [this](const member& m)
        {
            check(m);
        };
        platform.promoted = [this](const promotion& it)
        {
            return take(it);
        };
        configure(platform, 1, *g, {{"db-ledger"}});
    }

    unsigned carry_out(const promotion& it)
    {
        const bool stale = it.token < highest;
        highest = std::max(highest, it.token);
        const auto code = stale ? 409U : g->promote(it.server);
        record("promote " + it.server + " by " + it.holder + " token " +
               std::to_string(it.token) +
               " is carried out: " + std::to_string(code));
        return code;
    }

    unsigned take(const promotion& it)
    {
        if (clock::now() >= slow_until)
            return carry_out(it);
        record("promote " + it.server + " by " + it.holder + " token " +
               std::to_string(it.token) + " gets no answer");
        asio::co_spawn(
            io,
            [](trial& t, promotion n) -> awaitable<void>
            {
                co_await sleep_for(late);
                t.carry_out(n);
            }(*this, it),
            asio::detached);
        return 0;
    }

    /// Compares the log of the member that leads now with what was
    /// acknowledged.
    void check(const member& m)
    {
        std::set<std::string> kept;
        for (const auto& n : m.log)
            for (const auto& [item, value] : n->items)
                kept.insert(item + '=' + value);
        for (const auto& n : acknowledged)
            if (kept.count(n) == 0)
            {
                record("acknowledged commit not in the log of " + m.id + ": " +
                       n);
                ++lost;
            }
    }

    asio::io_context io;
    recorder record;
    store platform{io, record};
    std::unique_ptr<group> g;
    clock::time_point slow_until = clock::time_point::min();
    std::uint64_t highest = 0;
    std::set<std::string> acknowledged;
    unsigned lost = 0;
    bool stopped = false;
};

awaitable<void> write(trial& t, const host_process& at, int number)
{
    caller c(t.io, t.record, "writer" + std::to_string(number));
    bool open = false;
    for (int n = 0; !t.stopped; ++n)
    {
        if (!open)
            open = co_await c.connect(at.callers, "db-ledger");
        if (open)
        {
            const auto item = c.name + 'n' + std::to_string(n);
            const auto a = co_await c.query("WRITE " + item + " v");
            open = !a.closed;
            if (a.succeeded())
                t.acknowledged.insert(item + "=v");
        }
        co_await sleep_for(40ms);
    }
}

awaitable<int> story(trial& t, std::vector<host_process>& hosts, bool trouble)
{
    for (auto& h : hosts)
        start(h, t.record);
    for (auto& h : hosts)
        if (!co_await await_ready(t.io, h))
            co_return not_run;
    co_await sleep_for(3s);
    for (int n = 0; n < writers; ++n)
        asio::co_spawn(
            t.io,
            write(t, hosts[static_cast<std::size_t>(n) % hosts.size()], n),
            asio::detached);
    co_await sleep_for(3s);
    const auto primary = t.g->primary;
    if (trouble)
    {
        t.slow_until = clock::now() + platform_slow;
        t.g->crash(primary);
        co_await sleep_for(primary_down);
        if (t.g->primary == primary)
            t.g->start_again(primary);
    }
    co_await sleep_for(24s);
    t.stopped = true;
    t.record(std::to_string(t.acknowledged.size()) + " commits acknowledged, " +
             std::to_string(t.lost) + " lost");
    if (t.acknowledged.empty())
        co_return not_run;
    co_return t.lost > 0 ? broken : held;
}

}  // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return not_run;
    trial t(argv[1]);
    const auto folder = work_folder();
    std::vector<host_process> hosts;
    for (const auto* name : {"host-1", "host-2"})
        hosts.push_back(make_host(t.io, t.platform, name, folder));
    const auto out =
        play(t.io, t.record, [&] { return story(t, hosts, has_trouble()); });
    for (auto& h : hosts)
        end(h);
    if (std::getenv("KEEP") == nullptr)
        fs::remove_all(folder);
    return out;
}
