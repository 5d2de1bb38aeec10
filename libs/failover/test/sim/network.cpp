#include <algorithm>

#include "world.hpp"

namespace godwitbarrow::failover::sim
{
namespace
{

// Hosts 0 and 3 and member 0 share a data centre; host 1 and member 1 are in
// another data centre of the same region; host 2, member 2 and the store are in
// another region.
constexpr int data_centres[] = {0, 1, 2, 0, 0, 1, 2, 2};
constexpr int regions[] = {0, 0, 1, 0, 0, 0, 1, 1};

microseconds latency(const world& w, node a, node b)
{
    if (data_centres[a] == data_centres[b])
        return w.config.within_centre;
    return regions[a] == regions[b] ? w.config.between_centres
                                    : w.config.between_regions;
}

milliseconds added_latency_of(const world& w, node a)
{
    const auto found = w.added_latency.find(a);
    return found == w.added_latency.end() ? milliseconds(0) : found->second;
}

std::pair<node, node> link(node a, node b)
{
    return {std::min(a, b), std::max(a, b)};
}

}  // namespace

void cut(world& w, node a, node b)
{
    w.cut_links.insert(link(a, b));
}

void heal(world& w, node a, node b)
{
    w.cut_links.erase(link(a, b));
}

void cut_off(world& w, node a, const std::vector<node>& others)
{
    for (const auto b : others)
        if (a != b)
            cut(w, a, b);
}

bool is_cut(const world& w, node a, node b)
{
    return w.cut_links.count(link(a, b)) != 0;
}

void send(world& w, node from, node to, std::function<void()> run)
{
    if (is_cut(w, from, to))
        return;
    const auto base = latency(w, from, to);
    const auto spread = static_cast<std::uint64_t>(base.count()) / 4 + 1;
    after(w,
          base + microseconds(random_below(w, spread)) +
              added_latency_of(w, from) + added_latency_of(w, to),
          std::move(run));
}

void ask_member(
    world& w, int host, int m, milliseconds timeout,
    const std::function<core::result<core::member_status>(simulated_member&)>&
        serve,
    const std::function<void(core::result<core::member_status>)>& done)
{
    const auto answered = std::make_shared<bool>(false);
    const auto reply = [&w, host, answered, done](auto result)
    {
        if (*answered)
            return;
        *answered = true;
        deliver(w, host, [done, result] { done(result); });
    };
    const core::error lost{
        core::error_kind::connection_lost,
        "the member did not answer; check the backend server"};
    after(w, timeout, [reply, lost] { reply(lost); });
    send(w, host, member_node(m),
         [&w, host, m, serve, reply, lost]
         {
             auto& member = w.members[m];
             if (member.silent)
                 return;
             core::result<core::member_status> result = lost;
             if (member.process_up)
                 result = serve(member);
             send(w, member_node(m), host, [reply, result] { reply(result); });
         });
}

}  // namespace godwitbarrow::failover::sim
