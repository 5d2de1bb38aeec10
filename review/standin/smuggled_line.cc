// A client sends one QUERY whose data hold a line feed without a carriage
// return. A message ends in CR LF, so this is one statement: it is run as it
// is or it is refused. What follows the line feed must not run by itself.

#include "standin.hh"

using namespace standin;

int main(int argc, char** argv)
{
    const auto args = read_arguments(argc, argv);
    deployment d;
    std::mutex mutex;
    std::map<std::string, std::string> sent;
    int broken = 0;
    int judged = 0;
    d.db.ran = [&](const run& what)
    {
        std::lock_guard lock(mutex);
        ++judged;
        const auto it = sent.find(what.id);
        if (it != sent.end() && it->second == what.text)
            return;
        ++broken;
        record("BROKEN UNASKED: %s ran %s (%s), %s", what.member.c_str(),
               what.id.c_str(), what.text.c_str(),
               it == sent.end() ? "which no client sent"
                                : "which its client sent with another text");
    };
    d.start();
    auto h = start_host(args.scratch, "host-1", d.store);
    if (!await_ready(h, 10000))
    {
        end_host(h);
        return 2;
    }
    for (int n = 1; n <= 20; ++n)
    {
        client c{"c" + std::to_string(n), {}};
        if (!c.open(h, n % 2 ? "grants" : "royalty"))
            continue;
        const auto id = c.next_id();
        const auto smuggled = "x" + std::to_string(n);
        std::string text = "WRITE k" + std::to_string(n) + " one";
        if (args.trouble && n > 2)
            text += "\nQUERY " + smuggled + " WRITE k1 two";
        {
            std::lock_guard lock(mutex);
            sent[id] = text;
        }
        c.ask(id, text, 1500);
        sleep_ms(100);
        c.socket.close();
    }
    sleep_ms(500);
    int status = 0;
    const bool crashed = has_ended(h, status);
    end_host(h);
    record("%d runs judged, %d broken, host %s", judged, broken,
           crashed ? "ended by itself" : "ran on");
    std::printf("%d runs judged, %d broken\n", judged, broken);
    std::fflush(stdout);
    if (judged < 2)
        std::_Exit(2);
    std::_Exit(broken > 0 ? 1 : 0);
}
