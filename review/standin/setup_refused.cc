// Sessions with values of their own while a member is too busy for part of its
// requests. Each statement must run with the values that were acknowledged to
// its client.

#include "standin.hh"

using namespace standin;

namespace
{

/// As on the site: 0.45 of the requests of one member, for 5.9 s.
constexpr int refused_percent = 45;
constexpr int trouble_from_ms = 3000;
constexpr int trouble_ms = 5900;
constexpr int play_ms = 14000;

std::mutex values_mutex;
/// Values that were acknowledged to each client.
std::map<std::string, std::map<std::string, std::string>> acknowledged;
std::atomic<int> broken{0};
std::atomic<int> refused{0};
std::atomic<int> judged{0};

std::string show(const std::map<std::string, std::string>& values)
{
    std::string out = "{";
    for (const auto& [name, value] : values)
        out += " " + name + "=" + value;
    return out + " }";
}

void judge(const run& what)
{
    const auto owner = what.id.substr(0, what.id.find('q'));
    std::lock_guard lock(values_mutex);
    const auto& expected = acknowledged[owner];
    ++judged;
    if (expected == what.values)
        return;
    ++broken;
    record(
        "BROKEN PINNED: %s ran %s (%s) of %s with the values %s; "
        "acknowledged to its client: %s",
        what.member.c_str(), what.id.c_str(), what.text.c_str(), owner.c_str(),
        show(what.values).c_str(), show(expected).c_str());
}

bool set_value(client& c, const std::string& name, const std::string& value)
{
    const auto a = c.ask(c.next_id(), "SET " + name + " " + value);
    if (!a.ok)
        return false;
    std::lock_guard lock(values_mutex);
    acknowledged[c.name][name] = value;
    return true;
}

/// One session: sets its values once, then writes and reads.
void play(const host_process& h, int number, std::int64_t until)
{
    static std::atomic<int> last{0};
    const char* routes[] = {"grants", "royalty", "lookup"};
    const bool reads_only = number % 3 == 2;
    while (now_ms() < until)
    {
        client c{"c" + std::to_string(++last), {}};
        if (!c.open(h, routes[number % 3]))
        {
            sleep_ms(200);
            continue;
        }
        bool usable = set_value(c, "tenant", "t-" + c.name);
        if (number % 2 == 0)
            usable = usable && set_value(c, "reader", "r-" + c.name);
        for (int n = 0; usable && n < 20 && now_ms() < until; ++n)
        {
            const auto item = "k" + std::to_string(number);
            const auto a = c.ask(c.next_id(), reads_only || n % 2 == 0
                                                  ? "READ " + item
                                                  : "WRITE " + item + " v");
            usable = a.complete && a.state == 'I';
            sleep_ms(20);
        }
        c.socket.close();
    }
}

}  // namespace

int main(int argc, char** argv)
{
    const auto args = read_arguments(argc, argv);
    deployment d;
    d.db.ran = judge;
    std::atomic<bool> busy{false};
    std::atomic<unsigned> counter{0};
    d.db.refuse = [&](const std::string& member, const std::string& id,
                      const std::string& text) -> std::optional<std::string>
    {
        if (!busy || member != "i-a1" || text == "STATUS")
            return std::nullopt;
        const auto n = counter++ * 2654435761U % 100;
        if (n >= refused_percent)
            return std::nullopt;
        ++refused;
        record("%s: refuses QUERY %s %s, not run", member.c_str(), id.c_str(),
               text.c_str());
        return "BUSY";
    };
    d.start();
    auto h = start_host(args.scratch, "host-1", d.store);
    if (!await_ready(h, 10000))
    {
        record("the host did not get ready");
        end_host(h);
        return 2;
    }
    const auto from = now_ms();
    std::vector<std::thread> clients;
    for (int n = 0; n < 6; ++n)
        clients.emplace_back(play, h, n, from + play_ms);
    sleep_ms(trouble_from_ms);
    busy = args.trouble;
    sleep_ms(trouble_ms);
    busy = false;
    for (auto& c : clients)
        c.join();
    int status = 0;
    const bool crashed = has_ended(h, status);
    end_host(h);
    record(
        "%d runs judged, %d requests refused by the member, %d broken, "
        "host %s",
        judged.load(), refused.load(), broken.load(),
        crashed ? "ended by itself" : "ran on");
    std::printf("%d runs judged, %d refused, %d broken\n", judged.load(),
                refused.load(), broken.load());
    std::fflush(stdout);
    if (judged < 100)
        std::_Exit(2);
    std::_Exit(broken > 0 ? 1 : 0);
}
