#include <algorithm>

#include "world.hpp"

namespace godwitbarrow::failover::sim
{
namespace
{

std::vector<node> other_members(int m)
{
    std::vector<node> nodes;
    for (int other = 0; other < member_count; ++other)
        if (other != m)
            nodes.push_back(member_node(other));
    return nodes;
}

std::vector<node> all_members()
{
    return {member_node(0), member_node(1), member_node(2)};
}

std::vector<node> all_nodes()
{
    std::vector<node> nodes;
    for (node n = 0; n <= store_node; ++n)
        nodes.push_back(n);
    return nodes;
}

int current_primary(const world& w)
{
    const auto primary = w.store.row.row.primary;
    return primary ? member_index(*primary) : 0;
}

void cut_for(world& w, node a, const std::vector<node>& others,
             milliseconds length)
{
    cut_off(w, a, others);
    after(w, length,
          [&w, a, others]
          {
              for (const auto b : others)
                  heal(w, a, b);
          });
}

void set_leaving(world& w, int m, bool leaving)
{
    for (int h = 0; h < host_count; ++h)
        deliver(
            w, h,
            [&w, h, m, leaving] {
                process_event(w, h, server_leaving{server_name(m), leaving});
            });
}

void inject_member_fault(world& w, unsigned kind, int m, milliseconds length)
{
    switch (kind)
    {
        case 0:
        case 1:
            kill_member(w, m, kind == 1);
            after(w, length, [&w, m] { restart_member(w, m); });
            break;
        case 2:
            cut_for(w, member_node(m), other_members(m), length);
            break;
        case 3:
            w.members[m].pull_limit = 1;
            after(w, length, [&w, m] { w.members[m].pull_limit = 1000000; });
            break;
        case 4:
            w.added_latency[member_node(m)] = milliseconds(700);
            after(w, length,
                  [&w, m] { w.added_latency.erase(member_node(m)); });
            break;
        default:
            set_leaving(w, m, true);
            after(w, length, [&w, m] { set_leaving(w, m, false); });
    }
}

void inject_host_fault(world& w, unsigned kind, int h, milliseconds length)
{
    switch (kind)
    {
        case 6:
            kill_host(w, h);
            after(w, length + restart_delay, [&w, h] { restart_host(w, h); });
            break;
        case 7:
            pause_host(w, h);
            after(w, length, [&w, h] { resume_host(w, h); });
            break;
        case 8:
            cut_for(w, h, all_members(), length);
            break;
        case 9:
            cut_for(w, h, all_nodes(), length);
            break;
        default:
            // Disconnected from the other hosts only, so that it also becomes a
            // coordinator.
            cut_for(w, h, {0, 1, 2, 3}, length);
    }
}

void inject_store_fault(world& w, unsigned kind, unsigned target,
                        milliseconds length)
{
    switch (kind)
    {
        case 11:
            w.store.down = true;
            after(w, length, [&w] { w.store.down = false; });
            break;
        case 12:
            w.store.delay = milliseconds(2000);
            after(w, length, [&w] { w.store.delay = w.config.store_delay; });
            break;
        default:
            w.store.answers_to_lose = static_cast<int>(target % 3) + 1;
    }
}

}  // namespace

void kill_member(world& w, int m, bool silent)
{
    w.members[m].process_up = silent;
    w.members[m].silent = silent;
}

/// The log and the term are persistent; the role and the primary are not.
void restart_member(world& w, int m)
{
    auto& member = w.members[m];
    if (answers(member))
        return;
    if (!member.process_up)
    {
        member.status.role = core::member_role::replica;
        member.following = -1;
    }
    member.process_up = true;
    member.silent = false;
}

void partition_member(world& w, int m)
{
    cut_off(w, member_node(m), other_members(m));
}

void kill_host(world& w, int h)
{
    if (!w.hosts[h].alive)
        return;
    w.hosts[h].alive = false;
    w.hosts[h].died_at = w.now;
    w.hosts[h].paused = false;
    w.hosts[h].inbox.clear();
}

void restart_host(world& w, int h)
{
    auto& host = w.hosts[h];
    if (host.alive || w.now < host.died_at + restart_delay)
        return;
    host.alive = true;
    start_host(w, h);
}

void pause_host(world& w, int h)
{
    if (w.hosts[h].alive)
        w.hosts[h].paused = true;
}

void resume_host(world& w, int h)
{
    auto& host = w.hosts[h];
    if (!host.alive || !host.paused)
        return;
    host.paused = false;
    const auto inbox = std::exchange(host.inbox, {});
    for (const auto& run : inbox)
        deliver(w, h, run);
}

void heal_all(world& w)
{
    w.cut_links.clear();
    w.added_latency.clear();
    w.store.down = false;
    w.store.delay = w.config.store_delay;
    w.store.answers_to_lose = 0;
    for (int m = 0; m < member_count; ++m)
    {
        restart_member(w, m);
        w.members[m].pull_limit = 1000000;
        set_leaving(w, m, false);
    }
    for (int h = 0; h < host_count; ++h)
    {
        resume_host(w, h);
        if (!w.hosts[h].alive)
            after(w, restart_delay, [&w, h] { restart_host(w, h); });
    }
}

void inject(world& w, unsigned kind, unsigned target, milliseconds length)
{
    // Every second target is the primary, whose faults have the most effect.
    const int m = target % 2 == 0 ? current_primary(w)
                                  : static_cast<int>(target / 2 % member_count);
    const int h = static_cast<int>(target % host_count);
    if (kind <= 5)
        inject_member_fault(w, kind, m, length);
    else if (kind <= 10)
        inject_host_fault(w, kind, h, length);
    else if (kind <= 13)
        inject_store_fault(w, kind, target, length);
    else
        // Three of four hosts lose the primary; the fourth and the replicas
        // still reach it.
        cut_for(w, member_node(m), {0, 1, 2}, length);
}

}  // namespace godwitbarrow::failover::sim
