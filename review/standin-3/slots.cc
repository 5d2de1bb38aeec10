#include "world.hh"

#include <random>

/// Callers of a workspace and of a public route share a service. After many
/// users have come at once, the hosts serve its primary no longer.

using namespace review;

namespace
{

constexpr int hosts_started = 4;
/// Of each host: callers of the workspace, and of the public route.
constexpr int clinic_callers = 19;
constexpr int board_callers = 25;
/// Many users of the public route come at once.
constexpr double burst_factor = 2.3;
constexpr auto burst_time = 6700ms;
constexpr auto pause_between = 1500ms;
constexpr auto pause_in_transaction = 300ms;
constexpr int writes_of_transaction = 4;
constexpr unsigned percent_transactions = 40;
/// Of an operation, as the sheet of the site has them.
constexpr auto deadline = 8s;
constexpr int most_retries = 2;
constexpr auto retry_pause = 300ms;
/// `recover_s` of the site.
constexpr auto recover = 15s;
/// Of all operations, the share that may be refused or fail.
constexpr double most_unserved = 0.6;

struct tally
{
    unsigned sent = 0;
    unsigned served = 0;
    std::map<std::string, unsigned> codes;
};

struct trial
{
    explicit trial(const std::string& record_path) : record(record_path)
    {
        group_settings s;
        s.slots = 5;
        s.queue = 40;
        s.connections = 78;
        s.work = 8ms;
        s.lag = 8ms;
        g = std::make_unique<group>(io, record, platform, "flags", s);
        platform.promoted = [this](const promotion& it)
        {
            record("promote " + it.server + " by " + it.holder);
            return g->promote(it.server);
        };
        route publish{"db-publish"};
        route board{"db-board"};
        board.slo_ms = 2000;
        board.priority = 2;
        board.open = true;
        configure(platform, 1, *g, {publish, board},
                  {json::object{{"name", "clinic"},
                                {"api_keys", json::array{"key-clinic"}},
                                {"priority", 1}}});
    }

    asio::io_context io;
    recorder record;
    store platform{io, record};
    std::unique_ptr<group> g;
    /// Operations that begin now count here, if set.
    tally* counts = nullptr;
    clock::time_point burst_end = clock::time_point::max();
    bool stopped = false;
};

/// One statement, or a transaction with pauses. Returns the code of its end.
awaitable<std::string> attempt(caller& c, bool transaction, int n)
{
    const auto write = "WRITE " + c.name + " v" + std::to_string(n);
    if (!transaction)
    {
        const auto only = co_await c.query(write, deadline);
        co_return only.code();
    }
    auto a = co_await c.query("BEGIN", deadline);
    for (int it = 0; it < writes_of_transaction && a.succeeded(); ++it)
    {
        a = co_await c.query(write + "." + std::to_string(it), deadline);
        co_await sleep_for(pause_in_transaction);
    }
    if (a.succeeded())
        a = co_await c.query("COMMIT", deadline);
    else if (!a.closed && a.state != 'I')
        co_await c.query("ROLLBACK", deadline);
    co_return a.code();
}

/// Retried in full, with new ids, after a promise.
awaitable<std::string> operate(caller& c, bool transaction, int n)
{
    const auto until = clock::now() + deadline;
    std::string code;
    for (int it = 0; it <= most_retries && clock::now() < until; ++it)
    {
        if (it > 0)
            co_await sleep_for(retry_pause);
        code = co_await attempt(c, transaction, n);
        if (code != "BUSY" && code != "ABORTED")
            break;
    }
    co_return code;
}

awaitable<void> call(trial& t, const host_process& at, bool open, int number,
                     clock::time_point until)
{
    caller c(t.io, t.record,
             at.name + (open ? "-board" : "-clinic") + std::to_string(number));
    std::mt19937 random(static_cast<unsigned>(number) * 7919U +
                        at.callers.port());
    const auto some = [&](unsigned limit)
    {
        return random() % limit;
    };
    if (until == clock::time_point::max())
        co_await sleep_for(milliseconds(some(1500)));
    bool connected = false;
    for (int n = 0; !t.stopped && clock::now() < until; ++n)
    {
        auto* counted = t.counts;
        if (counted)
            ++counted->sent;
        if (!connected && open)
            connected = co_await c.connect(at.callers, "db-board");
        else if (!connected)
            connected =
                co_await c.connect(at.callers, "db-publish", "key-clinic");
        std::string code = "no connection";
        const bool transaction = some(100) < percent_transactions;
        if (connected)
            code = co_await operate(c, transaction, n);
        connected = connected && code != "closed";
        if (counted)
        {
            counted->served += code == "DONE" ? 1 : 0;
            ++counted->codes[code];
        }
        co_await sleep_for(pause_between / 2 +
                           milliseconds(some(pause_between / 1ms)));
    }
    c.close();
}

void report(trial& t, const std::string& when, const tally& it)
{
    std::string text = when + ": " + std::to_string(it.served) + " of " +
                       std::to_string(it.sent) + " operations served";
    for (const auto& [code, n] : it.codes)
        text += ", " + code + ' ' + std::to_string(n);
    t.record(text);
}

awaitable<int> story(trial& t, std::vector<host_process>& hosts, bool trouble)
{
    for (auto& h : hosts)
        start(h, t.record, 6000);
    for (auto& h : hosts)
        if (!co_await await_ready(t.io, h))
            co_return not_run;
    co_await sleep_for(3s);
    for (auto& h : hosts)
        for (int n = 0; n < clinic_callers + board_callers; ++n)
            asio::co_spawn(
                t.io,
                call(t, h, n >= clinic_callers, n, clock::time_point::max()),
                asio::detached);
    co_await sleep_for(3s);
    // Operations count once they have ended.
    tally before;
    t.counts = &before;
    co_await sleep_for(8s);
    tally during;
    t.counts = &during;
    if (trouble)
    {
        t.record("many users come at once");
        const int more = static_cast<int>(board_callers * (burst_factor - 1));
        for (auto& h : hosts)
            for (int n = 0; n < more; ++n)
                asio::co_spawn(
                    t.io, call(t, h, true, 100 + n, clock::now() + burst_time),
                    asio::detached);
    }
    co_await sleep_for(burst_time);
    tally first;
    t.counts = &first;
    co_await sleep_for(recover);
    tally after;
    t.counts = &after;
    co_await sleep_for(40s);
    t.counts = nullptr;
    co_await sleep_for(deadline);
    report(t, "before", before);
    report(t, "within the time of the burst", during);
    report(t, "within recover_s after it", first);
    report(t, "later", after);
    for (auto& h : hosts)
    {
        const bool ready = co_await is_ready(t.io, h);
        t.record("host " + h.name +
                 (is_running(h) ? " runs, ready: " : " has ended, ready: ") +
                 (ready ? "yes" : "no"));
    }
    t.stopped = true;
    tally all;
    for (const auto* it : {&before, &during, &first, &after})
    {
        all.sent += it->sent;
        all.served += it->served;
    }
    const auto unserved =
        1 - static_cast<double>(all.served) / static_cast<double>(all.sent);
    t.record("refused or failed: " + std::to_string(unserved) + " of " +
             std::to_string(all.sent) + " operations");
    co_return unserved > most_unserved ? broken : held;
}

}  // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return not_run;
    trial t(argv[1]);
    const auto folder = work_folder();
    std::vector<host_process> hosts;
    host_options o;
    o.drain_ms = 10000;
    o.quotas = true;
    for (int n = 1; n <= hosts_started; ++n)
        hosts.push_back(make_host(t.io, t.platform, "host-" + std::to_string(n),
                                  folder, o));
    const auto out =
        play(t.io, t.record, [&] { return story(t, hosts, has_trouble()); });
    for (auto& h : hosts)
        end(h);
    if (std::getenv("KEEP") == nullptr)
        fs::remove_all(folder);
    return out;
}
