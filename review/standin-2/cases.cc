#include <unistd.h>
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <stdexcept>
#include <thread>

#include "platform.hh"
#include "replication.hh"

/// The cases of the second review. Each starts hosts beside the stand-ins,
/// plays its disruption unless TROUBLE is 0, and checks its rule.
///
/// cases NAME PROGRAM TEMPLATE FOLDER RECORD
///
/// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case
/// could not run.
namespace
{

using namespace review;
using namespace std::chrono_literals;

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int not_run = 2;

/// Bounds of the deployment kalima-pool.
constexpr std::int64_t stable_ms = 4000;
constexpr std::int64_t apply_ms = 3000;
constexpr std::int64_t grace_ms = 6000;

struct could_not_run : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

struct deployment
{
    deployment(const host_options& o, const std::string& record_path,
               unsigned host_count)
        : log(record_path), platform(log), options(o)
    {
        rights.name = "rights";
        rights.primary = "i-a";
        for (const auto* id : {"i-a", "i-b", "i-c"})
            members.push_back(std::make_unique<member>(rights, id, log));
        platform.promoted = [this](const std::string&, const std::string& id)
        {
            std::lock_guard lock(rights.mutex);
            if (rights.primary != id)
                ++rights.term;
            rights.primary = id;
            return true;
        };
        platform.put("op", "config", configuration(1, rights.name, {}));
        for (const auto& it : members)
            platform.put("servers", it->id(),
                         it->registration("cairo-zamalek", "ready"));
        options.platform = platform.port();
        for (unsigned n = 1; n <= host_count; ++n)
            hosts.push_back(start_host(options, "edge-" + std::to_string(n)));
    }

    void end_hosts()
    {
        for (auto& it : hosts)
            end_host(it);
    }

    /// Waits until all hosts are ready and have been undisturbed for longer
    /// than `stable_ms`.
    void settle()
    {
        for (const auto& it : hosts)
            await_ready(it);
        pause_for(milliseconds(stable_ms + 1000));
    }

    void await_ready(const host& it)
    {
        for (int n = 0; n < 200; ++n)
        {
            if (is_ready(it))
                return;
            pause_for(50ms);
        }
        throw could_not_run(it.name + " is not ready");
    }

    record log;
    service rights;
    store platform;
    std::vector<std::unique_ptr<member>> members;
    host_options options;
    std::vector<host> hosts;
};

bool is_trouble()
{
    const char* it = std::getenv("TROUBLE");
    return !it || std::string(it) != "0";
}

/// What one host said about a database.
struct refusal_count
{
    std::int64_t first = 0;
    std::int64_t last = 0;
    unsigned refused_late = 0;
};

/// CONFIG: a database that was added is refused by a host in touch.
int silent_store_connections(deployment& d)
{
    d.platform.log_feeds = true;
    d.settle();
    d.platform.await_feed("op");
    pause_for(50ms);
    const auto silence = now_ms();
    if (is_trouble())
    {
        d.platform.silence_connections();
        d.log.add("the open connections to the store go silent");
    }
    pause_for(200ms);
    d.platform.put("op", "config", configuration(2, d.rights.name, {"heirs"}));
    const auto acknowledged = now_ms();
    d.log.add("configuration 2 acknowledged: it adds the database heirs");
    unsigned broken = 0;
    while (now_ms() < acknowledged + 7000)
    {
        for (const auto& it : d.hosts)
        {
            const auto sent = now_ms();
            caller c;
            const bool served = c.start(it.callers, "heirs");
            const bool in_touch = !is_trouble() || sent > silence + stable_ms;
            const bool due = sent > acknowledged + apply_ms;
            if (served)
                d.log.add(it.name + " accepts a session of heirs");
            if (served || c.refusal.find("NODB") == std::string::npos)
                continue;
            d.log.add(it.name + " refuses a session of heirs: " + c.refusal +
                      (due && in_touch ? "  LATE, in touch"
                       : due           ? "  late, not in touch"
                                       : ""));
            broken += due && in_touch ? 1 : 0;
        }
        pause_for(25ms);
    }
    d.log.add(std::to_string(broken) +
              " refusals by hosts in touch later than apply_ms");
    return broken > 0 ? rule_broken : rule_held;
}

/// A session that sends one short read after the other until the time.
bool keep_busy(caller& c, std::int64_t until, unsigned& last_id)
{
    while (now_ms() < until)
        if (!c.query("q" + std::to_string(++last_id), "READ 1a4"))
            return false;
    return true;
}

/// LOST: a statement that was taken after a SIGTERM is not answered.
int long_statement_at_shutdown(deployment& d)
{
    // Sent 3.6 s after the SIGTERM and answered 5.7 s after it, within the
    // grace of 6 s and the timeout of the route of 3 s.
    constexpr std::int64_t sent_after = 3600;
    constexpr milliseconds work = 2100ms;
    d.rights.work = [&](const std::string& text)
    {
        return text == "READ archive" ? work : 30ms;
    };
    d.settle();
    auto& h = d.hosts.front();
    caller c;
    c.log = &d.log;
    if (!c.start(h.callers, "catalogue"))
        throw could_not_run("no session: " + c.refusal);
    unsigned last_id = 0;
    keep_busy(c, now_ms() + 500, last_id);
    const auto stopped = now_ms();
    if (is_trouble())
    {
        signal_host(h, SIGTERM);
        d.log.add("SIGTERM to " + h.name);
    }
    if (!keep_busy(c, stopped + sent_after, last_id))
        throw could_not_run("the session ended before the long statement");
    d.log.add("the client sends the long statement x1, " +
              std::to_string(now_ms() - stopped) + " ms after the SIGTERM");
    const auto answer = c.query("x1", "READ archive");
    const auto after = now_ms() - stopped;
    d.log.add(std::to_string(after) + " ms after the SIGTERM: " +
              (answer ? "the client gets " + *answer
                      : "the connection ends without an answer"));
    if (!answer && after >= grace_ms)
        throw could_not_run("the platform would have ended the process");
    pause_for(1500ms);
    return answer ? rule_held : rule_broken;
}

/// Members of one service, one primary and replicas that are replaced.
struct replicated_service
{
    std::unique_ptr<service> group;
    std::unique_ptr<member> primary;
    std::deque<std::unique_ptr<member>> replicas;
};

struct leaving_member
{
    std::int64_t until = 0;
    std::unique_ptr<member> which;
};

/// Fault: processes crash on machines with several cores.
int replaced_members(deployment& d)
{
    constexpr unsigned services = 20;
    constexpr unsigned replicas = 2;
    // Each service replaces a replica a second.
    constexpr milliseconds interval(1000 / services);
    constexpr std::int64_t drain_time_ms = 10000;
    constexpr std::int64_t length_ms = 88000;
    std::vector<replicated_service> all(services);
    unsigned last_id = 0;
    const auto add = [&](replicated_service& to)
    {
        auto it = std::make_unique<member>(
            *to.group, "i-r" + std::to_string(++last_id), d.log);
        d.platform.put("servers", it->id(),
                       it->registration("cairo-zamalek", "ready"));
        return it;
    };
    for (unsigned n = 0; n < services; ++n)
    {
        auto& it = all[n];
        it.group = std::make_unique<service>();
        it.group->name = "core-" + std::to_string(n);
        it.group->primary = "i-r" + std::to_string(last_id + 1);
        it.primary = add(it);
        for (unsigned k = 0; k < replicas; ++k)
            it.replicas.push_back(add(it));
    }
    d.settle();
    std::deque<leaving_member> leaving;
    // Sessions may still refer to members that have left.
    std::vector<std::unique_ptr<member>> gone;
    unsigned replaced = 0;
    unsigned ended = 0;
    const auto end = now_ms() + length_ms;
    while (now_ms() < end)
    {
        if (is_trouble())
        {
            auto& it = all[replaced++ % services];
            it.replicas.push_back(add(it));
            auto old = std::move(it.replicas.front());
            it.replicas.pop_front();
            pause_for(interval / 3);
            d.platform.put("servers", old->id(),
                           old->registration("cairo-zamalek", "draining"));
            leaving.push_back({now_ms() + drain_time_ms, std::move(old)});
            pause_for(interval / 3);
        }
        while (!leaving.empty() && leaving.front().until <= now_ms())
        {
            leaving.front().which->stop();
            d.platform.remove("servers", leaving.front().which->id());
            gone.push_back(std::move(leaving.front().which));
            leaving.pop_front();
        }
        pause_for(is_trouble() ? interval / 3 : interval);
        for (auto& h : d.hosts)
        {
            int status = 0;
            if (!has_ended(h, &status))
                continue;
            ++ended;
            d.log.add(h.name + " has ended by itself, wait status " +
                      std::to_string(status) + ", after " +
                      std::to_string(replaced) + " replaced members");
            h = start_host(d.options, h.name);
        }
    }
    // Hosts that have just started need a moment.
    pause_for(3s);
    unsigned silent = 0;
    for (const auto& h : d.hosts)
    {
        if (is_ready(h))
            continue;
        ++silent;
        d.log.add(h.name + " is not ready");
    }
    d.log.add(std::to_string(replaced) + " members were replaced, " +
              std::to_string(ended) + " processes have ended by themselves, " +
              std::to_string(silent) + " are not ready");
    for (auto& it : all)
        gone.push_back(std::move(it.primary));
    // Threads of the members use them until the process ends.
    new auto(std::move(gone));
    new auto(std::move(all));
    return ended + silent > 0 ? rule_broken : rule_held;
}

/// A service with `sync_replicas` 1, its members and its clients.
struct ledger
{
    explicit ledger(deployment& of) : d(of), group("ledger", of.log)
    {
        group.add("i-a", 0ms);
        group.add("i-b", 1ms);
        group.add("i-c", 8ms);
        group.lead("i-a");
        d.platform.promoted = [this](const std::string&, const std::string& id)
        {
            return group.promote(id);
        };
        for (const auto* id : {"i-a", "i-b", "i-c"})
            report(id, "ready");
        d.platform.put("op", "config", configuration(2, "ledger", {}, 1));
    }

    void report(const std::string& id, const std::string& state)
    {
        states[id] = state;
        d.platform.put("servers", id, group.registration(id, state));
        d.log.add(id + " reports that it is " + state);
    }

    /// Each client sends one write after the other.
    void start_clients()
    {
        for (unsigned n = 0; n < 8; ++n)
            std::thread([this, n] { write(n); }).detach();
    }

    /// Waits for the promotion and counts what it lost.
    int judge()
    {
        for (int n = 0; n < 50 && group.primary() == "i-a"; ++n)
            pause_for(100ms);
        if (group.primary() == "i-a")
            throw could_not_run("the primary was not replaced");
        report(group.primary(), states[group.primary()]);
        pause_for(500ms);
        d.log.add(std::to_string(group.lost()) +
                  " acknowledged commits were lost");
        return group.lost() > 0 ? rule_broken : rule_held;
    }

    deployment& d;
    replicated_group group;
    std::map<std::string, std::string> states;

private:
    void write(unsigned client)
    {
        unsigned last_id = 0;
        const auto name = "c" + std::to_string(client);
        const auto& h = d.hosts[client % d.hosts.size()];
        while (true)
        {
            caller c;
            c.log = &d.log;
            if (!c.start(h.callers, "licences"))
            {
                pause_for(20ms);
                continue;
            }
            while (c.query(name + 'q' + std::to_string(++last_id),
                           "WRITE i" + std::to_string(client) + " v"))
                pause_for(30ms);
        }
    }
};

void wait_until(std::int64_t time)
{
    pause_for(milliseconds(std::max<std::int64_t>(time - now_ms(), 0)));
}

/// LOST: while a primary is replaced, a member starts that replaces another.
int joining_replica(deployment& d)
{
    // The new member starts a second before the old one drains.
    constexpr std::int64_t drains_after = 1000;
    constexpr std::int64_t gap = 1400;
    auto& it = *new ledger(d);
    d.settle();
    it.start_clients();
    pause_for(1s);
    const auto start = now_ms();
    it.group.add("i-d", 2ms);
    it.report("i-d", "ready");
    wait_until(start + drains_after);
    it.report("i-a", "draining");
    wait_until(start + gap);
    if (is_trouble())
    {
        it.group.add("i-e", 1ms);
        it.report("i-e", "ready");
        wait_until(start + gap + drains_after);
        it.report("i-b", "draining");
    }
    return it.judge();
}

/// LOST: a replica that is cut off from the store alone receives commits.
int unregistered_replica(deployment& d)
{
    // A cut of 5 s begins as the replica's next heartbeat is due. Its entry is
    // removed three intervals of 1.2 s after its last heartbeat.
    constexpr std::int64_t removed_after = 2400;
    constexpr std::int64_t started_after = 3800;
    constexpr std::int64_t leaving_after = 4800;
    constexpr std::int64_t back_after = 5200;
    auto& it = *new ledger(d);
    d.settle();
    it.start_clients();
    pause_for(1s);
    const auto start = now_ms();
    if (is_trouble())
        d.log.add("i-b is cut off from the store");
    wait_until(start + removed_after);
    if (is_trouble())
    {
        d.platform.remove("servers", "i-b");
        d.log.add("the store removes the entry of i-b");
    }
    wait_until(start + started_after);
    it.group.add("i-d", 2ms);
    it.report("i-d", "ready");
    wait_until(start + leaving_after);
    it.report("i-a", "draining");
    wait_until(start + back_after);
    it.report("i-b", "ready");
    return it.judge();
}

int play(const std::string& name, const host_options& options,
         const std::string& record_path)
{
    const auto with_hosts = [&](unsigned count, int (*act)(deployment&))
    {
        // Threads of the stand-ins use it until the process ends.
        auto& d = *new deployment(options, record_path, count);
        int out = not_run;
        try
        {
            out = act(d);
            d.log.add(out == rule_held ? "the rule held"
                                       : "the rule was broken");
        }
        catch (const could_not_run& e)
        {
            d.log.add(std::string("could not run: ") + e.what());
        }
        d.end_hosts();
        return out;
    };
    if (name == "silent_store_connections")
        return with_hosts(4, silent_store_connections);
    if (name == "long_statement_at_shutdown")
        return with_hosts(2, long_statement_at_shutdown);
    if (name == "joining_replica")
        return with_hosts(4, joining_replica);
    if (name == "unregistered_replica")
        return with_hosts(4, unregistered_replica);
    if (name == "replaced_members")
        return with_hosts(40, replaced_members);
    return not_run;
}

}  // namespace

int main(int argc, char** argv)
{
    if (argc != 6)
        return not_run;
    std::signal(SIGPIPE, SIG_IGN);
    host_options options{argv[2], argv[3], argv[4], 0};
    if (const char* cores = std::getenv("CORES"))
        options.cores = cores;
    const int out = play(argv[1], options, argv[5]);
    std::fflush(nullptr);
    // Threads of the stand-ins still wait for connections.
    _exit(out);
}
