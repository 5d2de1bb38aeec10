#include "fleet.hpp"

#include <algorithm>
#include <utility>

namespace godwitbarrow::membership::sim
{
namespace
{

using std::chrono::microseconds;

constexpr microseconds near_latency{1000};
constexpr microseconds far_latency{12000};
constexpr milliseconds list_latency{20};
constexpr milliseconds probe_timeout{300};
constexpr milliseconds check_interval{50};

void after(fleet& f, core::duration length, std::function<void()> run)
{
    f.agenda.push({f.now + length, ++f.scheduled, std::move(run)});
}

bool connected(const fleet& f, std::size_t a, std::size_t b)
{
    if (static_cast<int>(a) == f.cut_host || static_cast<int>(b) == f.cut_host)
        return false;
    const auto cut = [&](std::size_t h)
    {
        return static_cast<int>(f.hosts[h].region) == f.cut_region;
    };
    return cut(a) == cut(b);
}

void count_message(model_host& host, std::size_t bytes)
{
    ++host.messages;
    host.bytes += bytes;
    host.largest_message = std::max(host.largest_message, bytes);
}

void count_contact(model_host& host, const core::host_id& to)
{
    if (std::find(host.contacted.begin(), host.contacted.end(), to) !=
        host.contacted.end())
        return;
    host.contacted.push_back(to);
    host.most_contacted = std::max(host.most_contacted, host.contacted.size());
}

void send(fleet& f, std::size_t from, const core::host_id& to,
          std::size_t bytes, const event& what)
{
    const auto found = f.index.find(to);
    count_message(f.hosts[from], bytes);
    if (found == f.index.end() || !connected(f, from, found->second))
        return;
    const auto h = found->second;
    const auto same = f.hosts[from].region == f.hosts[h].region;
    const auto latency = same ? near_latency : far_latency;
    after(f, latency + microseconds(f.random() % 500),
          [&f, h, it = std::make_shared<event>(what)] { feed(f, h, *it); });
}

const core::host_id& name_of(const fleet& f, std::size_t h)
{
    return f.hosts[h].entry.host;
}

void perform(fleet& f, std::size_t h, const read_host_list&)
{
    ++f.list_reads;
    after(f, list_latency,
          [&f, h]
          {
              if (f.store_down)
                  feed(f, h,
                       host_list_read{core::error{
                           core::error_kind::store_unavailable,
                           "no answer from the platform; check it"}});
              else
                  feed(f, h, host_list_read{f.list});
          });
}

void perform(fleet& f, std::size_t h, const send_summary& it)
{
    if (!it.content.reply)
        count_contact(f.hosts[h], it.to);
    send(f, h, it.to, size_of(it.content),
         summary_received{name_of(f, h), it.content});
}

void perform(fleet& f, std::size_t h, const send_request& it)
{
    send(f, h, it.to, size_of(it.content),
         request_received{name_of(f, h), it.content});
}

void perform(fleet& f, std::size_t h, const send_news& it)
{
    send(f, h, it.to, size_of(it.content),
         news_received{name_of(f, h), it.content});
}

/// Takes the place of the chunks of a file set.
void perform(fleet& f, std::size_t h, const send_whole_settings& it)
{
    news whole;
    whole.settings.push_back({0, it.generation, "whole"});
    send(f, h, it.to, size_of(whole), news_received{name_of(f, h), whole});
}

void perform(fleet& f, std::size_t h, const ask_probe& it)
{
    send(f, h, it.via, 64, probe_requested{name_of(f, h), it.target});
}

void perform(fleet& f, std::size_t h, const probe_host& it)
{
    const auto found = f.index.find(it.target);
    const bool reachable = found != f.index.end() &&
                           f.hosts[found->second].alive &&
                           connected(f, h, found->second);
    const probe_answered answer{name_of(f, h), it.target, reachable};
    after(f, reachable ? milliseconds(25) : probe_timeout,
          [&f, h, it, answer] { send(f, h, it.answer_to, 64, answer); });
}

void perform(fleet& f, std::size_t h, const hosts_changed& it)
{
    auto& host = f.hosts[h];
    host.usable.clear();
    for (const auto& entry : it.hosts)
        host.usable.push_back(entry.host);
    host.unreachable = it.unreachable;
}

void perform(fleet& f, std::size_t h, const server_leaving& it)
{
    if (it.leaving)
        f.hosts[h].leaving_servers.push_back(it.server);
}

void perform(fleet& f, std::size_t h, const apply_settings& it)
{
    feed(f, h, settings_accepted{it.content});
}

void perform(fleet&, std::size_t, const apply_view&) {}

void tick_host(fleet& f, std::size_t h)
{
    feed(f, h, tick{});
    after(f, f.hosts[h].known.bounds.tick_interval,
          [&f, h] { tick_host(f, h); });
}

void forget_contacts(fleet& f)
{
    for (auto& host : f.hosts)
        host.contacted.clear();
    after(f, std::chrono::seconds(1), [&f] { forget_contacts(f); });
}

host_entry make_entry(const shape& how, std::size_t h)
{
    const auto centre = h % how.centres;
    host_entry it;
    it.host = {"host" + std::to_string(10000 + h)};
    it.data_centre = {"centre" + std::to_string(centre)};
    it.region = {"region" + std::to_string(centre % how.regions)};
    it.peer_endpoint = {"10.0.0.1", static_cast<std::uint16_t>(7000 + h)};
    return it;
}

}  // namespace

std::unique_ptr<fleet> make_fleet(const shape& how)
{
    auto f = std::make_unique<fleet>();
    f->random.seed(how.seed);
    f->list.version = 1;
    f->hosts.resize(how.hosts);
    for (std::size_t h = 0; h < how.hosts; ++h)
    {
        auto& host = f->hosts[h];
        host.entry = make_entry(how, h);
        host.region = h % how.centres % how.regions;
        host.known = make_state(host.entry, {}, f->now);
        f->index[host.entry.host] = h;
        f->list.hosts.push_back(host.entry);
        const auto start = microseconds(f->random() % 1000000);
        after(*f, start, [&f = *f, h] { tick_host(f, h); });
    }
    after(*f, {}, [&f = *f] { forget_contacts(f); });
    return f;
}

void run_for(fleet& f, core::duration length)
{
    const auto end = f.now + length;
    while (!f.agenda.empty() && f.agenda.top().at <= end)
    {
        auto it = f.agenda.top();
        f.agenda.pop();
        f.now = it.at;
        it.run();
    }
    f.now = end;
}

void feed(fleet& f, std::size_t h, const event& what)
{
    if (!f.hosts[h].alive)
        return;
    for (const auto& it : decide(f.hosts[h].known, what, f.now))
        std::visit([&](const auto& a) { perform(f, h, a); }, it);
}

core::duration time_until(fleet& f, core::duration limit,
                          const std::function<bool(const model_host&)>& done)
{
    const auto start = f.now;
    while (f.now < start + limit)
    {
        if (std::all_of(f.hosts.begin(), f.hosts.end(),
                        [&](const auto& it) { return !it.alive || done(it); }))
            return f.now - start;
        run_for(f, check_interval);
    }
    return limit;
}

void reset_counters(fleet& f)
{
    f.list_reads = 0;
    for (auto& host : f.hosts)
    {
        host.messages = 0;
        host.bytes = 0;
        host.most_contacted = 0;
        host.largest_message = 0;
    }
}

void kill_host(fleet& f, std::size_t h)
{
    f.hosts[h].alive = false;
}

}  // namespace godwitbarrow::membership::sim
