#include "world.hh"

/// Callers of a host that serves no session of a service itself make the hosts
/// that do exceed their memory.

using namespace review;

namespace
{

constexpr std::size_t memory_mib = 160;
constexpr int hosts_started = 6;
/// At each host that serves no session of the service itself.
constexpr int crowd_size = 230;
constexpr std::size_t value_bytes = std::size_t{256} * 1024;
constexpr std::size_t calm_bytes = 200;
constexpr int values_of_caller = 7;
/// On two machines at least, processes end three times.
constexpr unsigned most_ends = 2;
constexpr unsigned most_machines = 1;
constexpr auto crowd_time = 95s;
constexpr auto restart_pause = 300ms;

struct trial
{
    explicit trial(const std::string& record_path) : record(record_path)
    {
        group_settings s;
        s.slots = 5;
        s.connections = 16;
        s.work = 7ms;
        g = std::make_unique<group>(io, record, platform, "turbines", s);
        platform.promoted = [this](const promotion& it)
        {
            return g->promote(it.server);
        };
        configure(platform, 1, *g, {{"db-orders"}});
    }

    asio::io_context io;
    recorder record;
    store platform{io, record};
    std::unique_ptr<group> g;
    std::map<std::string, unsigned> ends;
    std::map<std::string, std::size_t> peaks;
    unsigned stored = 0;
    unsigned refused = 0;
    bool stopped = false;
};

/// Resident memory of the process in MiB.
std::size_t memory_of(const host_process& it)
{
    std::ifstream in("/proc/" + std::to_string(it.id) + "/status");
    for (std::string line; std::getline(in, line);)
        if (line.rfind("VmRSS:", 0) == 0)
            return std::stoul(line.substr(6)) / 1024;
    return 0;
}

/// The platform ends a process that exceeds the memory of its machine, and
/// starts it again.
awaitable<void> watch(trial& t, host_process& h)
{
    while (!t.stopped)
    {
        co_await sleep_for(20ms);
        if (!is_running(h))
        {
            ++t.ends[h.name];
            t.record("host " + h.name + " has ended");
        }
        else
        {
            const auto mib = memory_of(h);
            auto& peak = t.peaks[h.name];
            peak = std::max(peak, mib);
            if (mib <= memory_mib)
                continue;
            ++t.ends[h.name];
            t.record("host " + h.name + " has " + std::to_string(mib) +
                     " MiB, above the " + std::to_string(memory_mib) +
                     " MiB of its machine");
            end(h);
        }
        co_await sleep_for(restart_pause);
        if (!t.stopped)
            start(h, t.record, 6000);
    }
}

/// Sets a few values of legal size and keeps its session.
awaitable<void> crowd(trial& t, const host_process& at, int number,
                      std::size_t bytes)
{
    caller c(t.io, t.record, at.name + "-crowd" + std::to_string(number));
    c.verbose = false;
    co_await sleep_for(10ms * number);
    while (!t.stopped)
    {
        if (!co_await c.connect(at.callers, "db-orders"))
        {
            ++t.refused;
            co_await sleep_for(500ms);
            continue;
        }
        answer a;
        for (int n = 0; n < values_of_caller && !a.closed && !t.stopped; ++n)
        {
            a = co_await c.query("SET n" + std::to_string(n) + " " +
                                 std::string(bytes, 'x'));
            t.stored += a.succeeded() ? 1 : 0;
        }
        // A session that is kept is read from until it is closed.
        while (!a.closed && !t.stopped)
        {
            co_await sleep_for(1s);
            a = co_await c.query("SET n0 y");
        }
        co_await sleep_for(500ms);
    }
}

/// An ordinary caller, once a second.
awaitable<void> ordinary(trial& t, const host_process& at)
{
    caller c(t.io, t.record, "ordinary");
    bool open = false;
    for (int n = 0; !t.stopped; ++n)
    {
        if (!open)
            open = co_await c.connect(at.callers, "db-orders");
        if (open)
        {
            const auto a = co_await c.query("WRITE k v" + std::to_string(n));
            open = !a.closed;
        }
        co_await sleep_for(1s);
    }
}

/// The hosts that serve no session of the service, by what they log.
std::vector<const host_process*> find_entries(
    const std::vector<host_process>& hosts)
{
    std::vector<const host_process*> out;
    for (const auto& h : hosts)
    {
        std::ifstream in(h.folder + '/' + h.name + ".log");
        std::string last;
        for (std::string line; std::getline(in, line);)
            if (line.find("event=\"owners chosen\"") != std::string::npos)
                last = line.substr(line.find("owners=", line.find("group=")));
        if (!last.empty() && last.find(h.name) == std::string::npos &&
            last.find("owners=all") == std::string::npos)
            out.push_back(&h);
    }
    return out;
}

awaitable<int> story(trial& t, std::vector<host_process>& hosts, bool trouble)
{
    for (auto& h : hosts)
        start(h, t.record, 6000);
    for (auto& h : hosts)
        if (!co_await await_ready(t.io, h))
            co_return not_run;
    co_await sleep_for(4s);
    const auto entries = find_entries(hosts);
    if (entries.empty())
        co_return not_run;
    for (auto& h : hosts)
        asio::co_spawn(t.io, watch(t, h), asio::detached);
    asio::co_spawn(t.io, ordinary(t, *entries.front()), asio::detached);
    const auto bytes = trouble ? value_bytes : calm_bytes;
    for (const auto* entry : entries)
    {
        t.record("callers connect to " + entry->name);
        for (int n = 0; n < crowd_size; ++n)
            asio::co_spawn(t.io, crowd(t, *entry, n, bytes), asio::detached);
    }
    co_await sleep_for(crowd_time);
    t.stopped = true;
    co_await sleep_for(2s);
    unsigned machines = 0;
    for (const auto& h : hosts)
    {
        t.record("host " + h.name + ": at most " +
                 std::to_string(t.peaks[h.name]) + " MiB, ended " +
                 std::to_string(t.ends[h.name]) + " times");
        machines += t.ends[h.name] > most_ends ? 1 : 0;
    }
    t.record(std::to_string(t.stored) + " values of " + std::to_string(bytes) +
             " bytes set, " + std::to_string(t.refused) + " sessions refused");
    if (t.stored == 0)
        co_return not_run;
    co_return machines > most_machines ? broken : held;
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
    o.memory_mib = memory_mib;
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
