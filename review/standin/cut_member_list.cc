// Another writer has left entries that cannot be read among those of the
// members, so that the list of members takes the store more than one answer.
// All hosts are killed and start again. Service must be back after the time
// to recover.

#include "standin.hh"

using namespace standin;

namespace
{

/// The largest value of a row on the site.
constexpr std::size_t row_bytes = 65536;
constexpr int odd_entries = 16;
constexpr int down_ms = 1000;
constexpr int recover_ms = 12000;
constexpr int phase_ms = 5000;
constexpr int clients = 8;

struct share
{
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
};

void play(const std::vector<host_process>& hosts, int number, share& to)
{
    const auto until = now_ms() + phase_ms;
    int session = 0;
    while (now_ms() < until)
    {
        client c{"c" + std::to_string(number) + "s" + std::to_string(++session),
                 {}};
        const auto& h = hosts[static_cast<std::size_t>(session) % hosts.size()];
        const bool open = c.open(h, number % 2 ? "grants" : "lookup");
        for (int n = 0; n < 5; ++n)
        {
            ++to.sent;
            if (open && c.ask(c.next_id(), "READ k" + std::to_string(n)).ok)
                ++to.served;
            sleep_ms(50);
        }
        c.socket.close();
    }
}

void serve_phase(const std::vector<host_process>& hosts, share& to)
{
    std::vector<std::thread> threads;
    for (int n = 0; n < clients; ++n)
        threads.emplace_back(
            [&hosts, n, &to] {
                play(hosts, static_cast<int>(now_ms() % 1000000) * 10 + n, to);
            });
    for (auto& t : threads)
        t.join();
}

}  // namespace

int main(int argc, char** argv)
{
    const auto args = read_arguments(argc, argv);
    deployment d;
    d.start();
    std::vector<host_process> hosts;
    for (int n = 1; n <= 2; ++n)
    {
        hosts.push_back(
            start_host(args.scratch, "host-" + std::to_string(n), d.store));
        if (!await_ready(hosts.back(), 10000))
            return 2;
    }
    if (args.trouble)
        for (int n = 0; n < odd_entries; ++n)
            d.store.put_bytes("servers", "a-" + std::to_string(100 + n),
                              std::string(row_bytes, '\xfe'));
    sleep_ms(1000);
    share before;
    serve_phase(hosts, before);
    record("platform: all hosts are killed");
    for (auto& h : hosts)
        end_host(h);
    sleep_ms(down_ms);
    for (auto& h : hosts)
        h = start_host(args.scratch, h.name, d.store);
    sleep_ms(recover_ms);
    record("%d ms after the start: host-1 is %s", recover_ms,
           is_ready(hosts.front()) ? "ready" : "not ready");
    share after;
    serve_phase(hosts, after);
    for (auto& h : hosts)
        end_host(h);
    record("before: %d of %d served; later than recover_s: %d of %d",
           before.served.load(), before.sent.load(), after.served.load(),
           after.sent.load());
    std::printf("before: %d of %d served; later than recover_s: %d of %d\n",
                before.served.load(), before.sent.load(), after.served.load(),
                after.sent.load());
    std::fflush(stdout);
    if (before.served * 4 < before.sent)
        std::_Exit(2);
    const bool broken = after.served * 4 < after.sent;
    if (broken)
        record("BROKEN RECOVER: less than a quarter of the requests is served");
    std::_Exit(broken ? 1 : 0);
}
