#include "world.hh"

/// Case 11: after the store was restored from a copy, two hosts order
/// promotions of one service with the same fencing token.

using namespace review;

namespace
{

struct order
{
    std::string holder;
    std::string server;
    std::uint64_t token = 0;
};

struct trial
{
    explicit trial(const std::string& record_path) : record(record_path)
    {
        group_settings s;
        g = std::make_unique<group>(io, record, platform, "ledger", s);
        platform.promoted = [this](const promotion& it)
        {
            return take(it);
        };
        platform.written =
            [this](const std::string& table, const std::string& key)
        {
            if (table == "takeovers")
                record("store: row " + table + '/' + key + " in era " +
                       std::to_string(platform.era) + ": " +
                       platform.decoded(table, key));
        };
        configure(platform, 1, *g, {{"db-ledger"}});
    }

    /// The platform's check of the fence.
    unsigned take(const promotion& it)
    {
        const bool stale = it.token < highest;
        highest = std::max(highest, it.token);
        const auto code = stale ? 409U : g->promote(it.server);
        record("promote " + it.server + " by " + it.holder + " token " +
               std::to_string(it.token) + " answered " + std::to_string(code));
        orders.push_back({it.holder, it.server, it.token});
        return code;
    }

    /// Whether two holders used one token.
    bool is_shared() const
    {
        std::map<std::uint64_t, std::string> holders;
        for (const auto& it : orders)
            if (const auto [n, added] = holders.emplace(it.token, it.holder);
                !added && n->second != it.holder)
                return true;
        return false;
    }

    asio::io_context io;
    recorder record;
    store platform{io, record};
    std::unique_ptr<group> g;
    std::vector<order> orders;
    std::uint64_t highest = 0;
};

/// One caller that writes again and again through the host until `done`.
awaitable<bool> write_until(trial& t, const host_process& at,
                            const std::string& name, std::function<bool()> done)
{
    caller c(t.io, t.record, name);
    const auto until = clock::now() + 30s;
    bool open = false;
    int n = 0;
    while (clock::now() < until)
    {
        if (!open)
            open = co_await c.connect(at.callers, "db-ledger");
        if (open)
        {
            const auto a = co_await c.query("WRITE k" + std::to_string(n % 10) +
                                            " v" + std::to_string(n));
            ++n;
            open = !a.closed;
            if (a.succeeded() && done())
                co_return true;
        }
        co_await sleep_for(50ms);
    }
    co_return false;
}

/// The primary crashes while callers write through the host; a successor is to
/// serve them.
awaitable<bool> lose_primary(trial& t, const host_process& at,
                             const std::string& name)
{
    const auto before = t.g->primary;
    if (!co_await write_until(t, at, name + "a", [] { return true; }))
        co_return false;
    t.g->crash(before);
    co_return co_await write_until(t, at, name + "b",
                                   [&] { return t.g->primary != before; });
}

awaitable<int> story(trial& t, std::vector<host_process>& hosts, bool trouble)
{
    for (auto& h : hosts)
        start(h, t.record);
    for (auto& h : hosts)
        if (!co_await await_ready(t.io, h))
            co_return not_run;
    co_await sleep_for(3s);
    // The platform makes a copy of its store every few seconds.
    const auto copy = t.platform.make_copy();
    t.record("store: a copy is made");
    if (!co_await lose_primary(t, hosts[0], "first"))
        co_return not_run;
    if (trouble)
    {
        t.record("store: away");
        t.platform.go_away();
        co_await sleep_for(1s);
        t.platform.restore(copy);
        t.record("store: back from the copy, era " +
                 std::to_string(t.platform.era));
        co_await sleep_for(500ms);
        // What the operator and the members wrote is written again.
        configure(t.platform, 1, *t.g, {{"db-ledger"}});
        t.g->report_all();
    }
    co_await sleep_for(8s);
    if (!co_await lose_primary(t, hosts[1], "second"))
        co_return not_run;
    if (t.orders.size() < 2)
        co_return not_run;
    t.record(t.is_shared() ? "two holders used one fencing token"
                           : "each fencing token had one holder");
    co_return t.is_shared() ? broken : held;
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
