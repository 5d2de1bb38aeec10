#include "trouble.hpp"

#include <array>
#include <csignal>

#include "godwitbarrow/standins/http_server.hpp"

namespace soak
{
namespace detail
{
namespace
{

/// Time in which a resumed host learns what happened while it was frozen.
constexpr std::chrono::milliseconds thaw_time{300};

using godwitbarrow::standins::call_after;
using namespace std::chrono_literals;
using milliseconds = std::chrono::milliseconds;

std::size_t below(troublemaker& it, std::size_t limit)
{
    return it.random() % limit;
}

milliseconds between(troublemaker& it, milliseconds least, milliseconds most)
{
    const auto range = static_cast<std::size_t>((most - least).count()) + 1;
    return least + milliseconds(below(it, range));
}

void later(troublemaker& it, milliseconds time, std::function<void()> action)
{
    call_after(it.around.io.get_executor(), time, std::move(action));
}

database& some_database(troublemaker& it)
{
    auto n = it.around.databases.begin();
    std::advance(n, below(it, it.around.databases.size()));
    return *n->second;
}

core::server_id some_member(troublemaker& it, const database& of)
{
    auto n = of.members.begin();
    std::advance(n, below(it, of.members.size()));
    return n->first;
}

std::size_t some_host(troublemaker& it)
{
    return below(it, it.hosts.hosts.size());
}

link_filter any_host()
{
    return [](const std::string&)
    {
        return true;
    };
}

link_filter only(const std::string& name)
{
    return [name](const std::string& host)
    {
        return host == name;
    };
}

// Hosts.

void kill_host(troublemaker& it)
{
    send_signal(it.hosts, some_host(it), SIGKILL);
}

void kill_all_hosts(troublemaker& it)
{
    for (std::size_t n = 0; n < it.hosts.hosts.size(); ++n)
        send_signal(it.hosts, n, SIGKILL);
}

void stop_host(troublemaker& it)
{
    send_signal(it.hosts, some_host(it), SIGTERM);
}

void reload_host(troublemaker& it)
{
    send_signal(it.hosts, some_host(it), SIGHUP);
}

void pause_host(troublemaker& it)
{
    const auto host = some_host(it);
    const auto time = between(it, 100ms, 4000ms);
    auto& excused = it.around.judge.excused_until;
    excused = std::max(excused, core::runtime_clock::now() + time + thaw_time);
    send_signal(it.hosts, host, SIGSTOP);
    later(it, time, [&it, host] { send_signal(it.hosts, host, SIGCONT); });
}

// Links to members.

link_filter some_filter(troublemaker& it)
{
    if (below(it, 2) == 0)
        return any_host();
    return only(it.hosts.hosts[some_host(it)].name);
}

void harm_link(troublemaker& it, const link_faults& faults)
{
    auto& d = some_database(it);
    const auto server = some_member(it, d);
    const auto link = d.members.at(server).link;
    set_faults(*link, some_filter(it), faults);
    later(it, between(it, 200ms, 4000ms), [link] { end_faults(*link); });
}

void delay_link(troublemaker& it)
{
    link_faults faults;
    faults.delay = between(it, 20ms, 400ms);
    harm_link(it, faults);
}

void cut_link(troublemaker& it)
{
    link_faults faults;
    const auto way = below(it, 3);
    faults.cut_to_server = way != 0;
    faults.cut_to_client = way != 1;
    harm_link(it, faults);
}

void reset_member_links(troublemaker& it)
{
    auto& d = some_database(it);
    reset_links(*d.members.at(some_member(it, d)).link, some_filter(it));
}

void silence_member_links(troublemaker& it)
{
    auto& d = some_database(it);
    silence_links(*d.members.at(some_member(it, d)).link, some_filter(it));
}

// Members.

void crash_for(troublemaker& it, database& d, const core::server_id& server,
               milliseconds time)
{
    const auto n = d.members.find(server);
    if (n == d.members.end() || !d.group.members.at(server).running)
        return;
    crash(*n->second.server);
    later(it, time,
          [&it, &d, server]
          {
              const auto m = d.members.find(server);
              if (m == d.members.end())
                  return;
              start_again(*m->second.server);
              register_member(it.around, d, server);
          });
}

void crash_member(troublemaker& it)
{
    auto& d = some_database(it);
    crash_for(it, d, some_member(it, d), between(it, 300ms, 5000ms));
}

void crash_primary(troublemaker& it)
{
    auto& d = some_database(it);
    crash_for(it, d, d.group.primary, between(it, 300ms, 5000ms));
}

/// The member starts under its name and knows nothing of before.
void reborn_member(troublemaker& it)
{
    auto& d = some_database(it);
    const auto server = some_member(it, d);
    auto& m = d.group.members.at(server);
    if (server == d.group.primary || !m.running ||
        d.group.synchronous_replicas > 0)
        return;
    crash(*d.members.at(server).server);
    m.log.clear();
    m.items.clear();
    m.log_term = 0;
    start_again(*d.members.at(server).server);
    ++d.members.at(server).start;
    register_member(it.around, d, server);
}

void stop_replication(troublemaker& it)
{
    auto& d = some_database(it);
    const auto server = some_member(it, d);
    d.group.members.at(server).receives = false;
    later(it, between(it, 200ms, 4000ms),
          [&d, server]
          {
              const auto m = d.group.members.find(server);
              if (m != d.group.members.end())
                  m->second.receives = true;
          });
}

void slow_replication(troublemaker& it)
{
    auto& d = some_database(it);
    const auto server = some_member(it, d);
    d.group.members.at(server).lag = between(it, 200ms, 3000ms);
    later(it, between(it, 200ms, 4000ms),
          [&d, server]
          {
              const auto m = d.group.members.find(server);
              if (m != d.group.members.end())
                  m->second.lag = 60ms;
          });
}

void fail_some(troublemaker& it)
{
    auto& d = some_database(it);
    const auto server = some_member(it, d);
    d.group.members.at(server).failing_percent = 10 + below(it, 50);
    later(it, between(it, 200ms, 3000ms),
          [&d, server]
          {
              const auto m = d.group.members.find(server);
              if (m != d.group.members.end())
                  m->second.failing_percent = 0;
          });
}

/// A new member takes the place of one that leaves.
void replace_member(troublemaker& it)
{
    auto& d = some_database(it);
    if (d.members.size() > 3)
        return;
    const auto server = some_member(it, d);
    add_member(it.around, d);
    announce_leaving(it.around, d, server);
    later(it, leaving_limit,
          [&it, &d, server] { remove_member(it.around, d, server); });
}

/// Entries of another writer, which name no member to use.
void write_garbage(troublemaker& it)
{
    it.around.store.put("servers", "x", "\xff\x01 no entry");
    it.around.store.put("servers", "y", R"({"service":3,"addr":[]})");
    later(it, 500ms,
          [&it]
          {
              it.around.store.remove("servers", "x");
              it.around.store.remove("servers", "y");
          });
}

// The store.

void harm_store(troublemaker& it, const test::store_faults& faults)
{
    it.around.store.faults = faults;
    later(it, between(it, 300ms, 4000ms),
          [&it] { it.around.store.faults = {}; });
}

void store_down(troublemaker& it)
{
    test::store_faults faults;
    faults.down = true;
    harm_store(it, faults);
}

void store_slow(troublemaker& it)
{
    test::store_faults faults;
    faults.delay = between(it, 50ms, 1500ms);
    harm_store(it, faults);
}

void store_loses_answers(troublemaker& it)
{
    test::store_faults faults;
    faults.lost_percent = 30 + below(it, 60);
    if (below(it, 2) == 0)
        faults.late = between(it, 500ms, 4000ms);
    harm_store(it, faults);
}

void cut_store(troublemaker& it)
{
    const auto link = it.hosts.hosts[some_host(it)].store;
    link_faults faults;
    faults.cut_to_server = true;
    faults.cut_to_client = below(it, 2) == 0;
    set_faults(*link, any_host(), faults);
    later(it, between(it, 300ms, 5000ms), [link] { end_faults(*link); });
}

void silence_store(troublemaker& it)
{
    silence_links(*it.hosts.hosts[some_host(it)].store, any_host());
}

void reset_store(troublemaker& it)
{
    reset_links(*it.hosts.hosts[some_host(it)].store, any_host());
}

void lose_history(troublemaker& it)
{
    it.around.store.history_lost = true;
}

// The operator.

void change_timeouts(troublemaker& it)
{
    for (auto& [name, route] : it.around.routes)
        route.statement_timeout = between(it, 800ms, 1200ms);
    configure(it.around);
}

void change_often(troublemaker& it)
{
    for (int n = 0; n < 8; ++n)
        later(it, n * 60ms,
              [&it]
              {
                  if (!it.stopped)
                      change_timeouts(it);
              });
}

struct kind
{
    const char* name;
    void (*play)(troublemaker&);
};

constexpr std::array<kind, 25> kinds{{
    {"kill_host", kill_host},
    {"kill_all_hosts", kill_all_hosts},
    {"stop_host", stop_host},
    {"reload_host", reload_host},
    {"pause_host", pause_host},
    {"delay_link", delay_link},
    {"cut_link", cut_link},
    {"reset_member_links", reset_member_links},
    {"silence_member_links", silence_member_links},
    {"crash_member", crash_member},
    {"crash_primary", crash_primary},
    {"reborn_member", reborn_member},
    {"stop_replication", stop_replication},
    {"slow_replication", slow_replication},
    {"fail_some", fail_some},
    {"replace_member", replace_member},
    {"write_garbage", write_garbage},
    {"store_down", store_down},
    {"store_slow", store_slow},
    {"store_loses_answers", store_loses_answers},
    {"cut_store", cut_store},
    {"silence_store", silence_store},
    {"reset_store", reset_store},
    {"lose_history", lose_history},
    {"change_often", change_often},
}};

void play_next(troublemaker& it)
{
    if (it.stopped)
        return;
    const auto& what = kinds.at(below(it, kinds.size()));
    ++it.played[what.name];
    what.play(it);
    later(it, between(it, 100ms, 1500ms), [&it] { play_next(it); });
}

}  // namespace
}  // namespace detail

void start_trouble(troublemaker& it)
{
    detail::play_next(it);
}

void stop_trouble(troublemaker& it)
{
    it.stopped = true;
    it.around.store.faults = {};
    for (std::size_t n = 0; n < it.hosts.hosts.size(); ++n)
    {
        end_faults(*it.hosts.hosts[n].store);
        if (it.hosts.hosts[n].paused)
            send_signal(it.hosts, n, SIGCONT);
    }
    for (auto& [name, d] : it.around.databases)
        for (auto& [server, m] : d->members)
        {
            end_faults(*m.link);
            auto& member = d->group.members.at(server);
            member.receives = true;
            member.failing_percent = 0;
            member.lag = std::chrono::milliseconds(60);
            if (!member.running)
                start_again(*m.server);
            register_member(it.around, *d, server);
        }
}

}  // namespace soak
