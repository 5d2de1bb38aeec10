#include <algorithm>

#include "world.hpp"

namespace godwitbarrow::failover::sim
{
namespace
{

// Hosts 0 and 3 and member 0 share a data centre, host and member 1 are in
// another one of the region, host 2, member 2 and the store in another region.
constexpr int centres[] = {0, 1, 2, 0, 0, 1, 2, 2};
constexpr int regions[] = {0, 0, 1, 0, 0, 0, 1, 1};

microseconds latency(const world& w, node a, node b)
{
    if (centres[a] == centres[b])
        return w.how.within_centre;
    return regions[a] == regions[b] ? w.how.between_centres
                                    : w.how.between_regions;
}

milliseconds slowness_of(const world& w, node a)
{
    const auto it = w.slowness.find(a);
    return it == w.slowness.end() ? milliseconds(0) : it->second;
}

std::pair<node, node> link(node a, node b)
{
    return {std::min(a, b), std::max(a, b)};
}

}  // namespace

void cut(world& w, node a, node b)
{
    w.cuts.insert(link(a, b));
}

void heal(world& w, node a, node b)
{
    w.cuts.erase(link(a, b));
}

void cut_off(world& w, node a, const std::vector<node>& others)
{
    for (const auto b : others)
        if (a != b)
            cut(w, a, b);
}

bool is_cut(const world& w, node a, node b)
{
    return w.cuts.count(link(a, b)) != 0;
}

void send(world& w, node from, node to, std::function<void()> run)
{
    if (is_cut(w, from, to))
        return;
    const auto base = latency(w, from, to);
    const auto spread = static_cast<std::uint64_t>(base.count()) / 4 + 1;
    after(w,
          base + microseconds(draw(w, spread)) + slowness_of(w, from) +
              slowness_of(w, to),
          std::move(run));
}

void ask_member(
    world& w, int host, int m, milliseconds timeout,
    std::function<core::result<core::member_status>(model_member&)> serve,
    std::function<void(core::result<core::member_status>)> done)
{
    const auto answered = std::make_shared<bool>(false);
    const auto reply = [&w, host, answered, done](auto result)
    {
        if (*answered)
            return;
        *answered = true;
        deliver(w, host, [done, result] { done(result); });
    };
    const core::error lost{core::error_kind::connection_lost,
                           "no answer; check the backend server"};
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
