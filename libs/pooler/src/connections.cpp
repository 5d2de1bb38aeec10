#include "connections.hpp"

#include <algorithm>

namespace godwitbarrow::pooler::detail
{
namespace
{

/// Prepared statements on one connection, beyond which it is cleared.
constexpr std::size_t most_prepared = 256;

bool includes(const std::map<std::string, std::string>& all,
              const std::map<std::string, std::string>& names)
{
    return std::all_of(names.begin(), names.end(),
                       [&](const auto& n) { return all.count(n.first) > 0; });
}

enum class switch_cost
{
    none,
    set_values,
    reset
};

switch_cost cost_of(const backend_connection& c, const caller_session& s)
{
    if (c.values == s.values)
        return switch_cost::none;
    return includes(s.values, c.values) ? switch_cost::set_values
                                        : switch_cost::reset;
}

statement own(verb kind, std::string name = {}, std::string text = {})
{
    return {kind, std::move(name), false, std::move(text)};
}

}  // namespace

std::size_t connection_limit(const state& all, const group& g)
{
    return std::max<std::size_t>(
        g.settings.max_connections / std::max<std::size_t>(all.live_hosts, 1),
        1);
}

std::size_t running_limit(const state& all, const member& m)
{
    const auto hosts = std::max<std::size_t>(all.live_hosts, 1);
    const bool far = m.record.data_centre != all.settings.data_centre;
    const auto total = m.record.slots * all.settings.statements_per_slot *
                       (far ? all.settings.far_factor : 1);
    return std::max<std::size_t>((total + hosts - 1) / hosts, 2);
}

connection_number pick_idle(const state& all, const member& m,
                            const caller_session& s)
{
    connection_number best = 0;
    auto best_cost = switch_cost::reset;
    for (const auto number : m.connections)
    {
        const auto& c = all.connections.at(number);
        if (c.phase != connection_phase::idle)
            continue;
        const auto cost = cost_of(c, s);
        if (best != 0 && cost >= best_cost)
            continue;
        best = number;
        best_cost = cost;
        if (cost == switch_cost::none)
            break;
    }
    return best;
}

void open_if_allowed(context& in, group& g, member& m)
{
    if (m.connections.size() >= connection_limit(in.pooler, g))
        return;
    if (m.open_after && *m.open_after > in.now)
        return;
    const auto opening =
        std::count_if(m.connections.begin(), m.connections.end(),
                      [&](connection_number n) {
                          return in.pooler.connections.at(n).phase ==
                                 connection_phase::opening;
                      });
    const auto waiting = admission::waiting_count(g.primary_queue) +
                         admission::waiting_count(g.read_queue);
    if (static_cast<std::size_t>(opening) >=
        std::min(in.pooler.settings.opening_at_once, waiting))
        return;
    const auto number = ++in.pooler.last_connection;
    backend_connection c;
    c.group = m.record.group;
    c.server = m.record.server;
    c.phase_since = in.now;
    in.pooler.connections.emplace(number, std::move(c));
    m.connections.insert(number);
    in.out.push_back(open_connection{number, m.record.group, m.record.server,
                                     m.record.address});
}

void forget_connection(context& in, connection_number number)
{
    const auto it = in.pooler.connections.find(number);
    if (it == in.pooler.connections.end())
        return;
    const auto g = in.pooler.groups.find(it->second.group);
    if (g != in.pooler.groups.end())
    {
        const auto m = g->second.members.find(it->second.server);
        if (m != g->second.members.end())
        {
            m->second.connections.erase(number);
            if (it->second.phase == connection_phase::busy &&
                m->second.running > 0)
                --m->second.running;
        }
    }
    in.pooler.connections.erase(it);
}

void drop_connection(context& in, connection_number number)
{
    if (in.pooler.connections.count(number) == 0)
        return;
    forget_connection(in, number);
    in.out.push_back(close_connection{number});
}

void release_connection(context& in, connection_number number)
{
    auto& c = in.pooler.connections.at(number);
    c.user = 0;
    c.phase_since = in.now;
    c.phase = c.outstanding.empty() ? connection_phase::idle
                                    : connection_phase::cleaning;
    const auto g = in.pooler.groups.find(c.group);
    const bool known =
        g != in.pooler.groups.end() && g->second.members.count(c.server) > 0;
    const bool leaving = known &&
                         g->second.members.at(c.server).record.leaving &&
                         g->second.primary != c.server;
    // The share of this host shrinks when hosts are added.
    const bool surplus =
        known && g->second.members.at(c.server).connections.size() >
                     connection_limit(in.pooler, g->second);
    if (c.phase == connection_phase::idle &&
        (!known || leaving || surplus || c.spoiled))
        drop_connection(in, number);
}

void roll_back(context& in, connection_number number)
{
    auto& c = in.pooler.connections.at(number);
    c.outstanding.push_back(purpose::cleanup);
    c.sent = in.now;
    in.out.push_back(
        send_to_member{number, {{{}, own(verb::rollback), std::nullopt}}});
    release_connection(in, number);
}

std::vector<query> setup_statements(backend_connection& c,
                                    const caller_session& s)
{
    std::vector<query> out;
    const bool crowded = c.prepared.size() >= most_prepared;
    if (cost_of(c, s) == switch_cost::reset || crowded)
    {
        out.push_back({{}, own(verb::reset), std::nullopt});
        c.values.clear();
        c.prepared.clear();
    }
    for (const auto& [name, value] : s.values)
    {
        const auto it = c.values.find(name);
        if (it != c.values.end() && it->second == value)
            continue;
        out.push_back({{}, own(verb::set, name, value), std::nullopt});
        c.values[name] = value;
    }
    const auto& what = s.current->request.stmt;
    if (what.kind != verb::execute)
        return out;
    const auto& p = s.prepared.at(what.name);
    if (!c.prepared.insert(p.member_name).second)
        return out;
    auto prepare = own(verb::prepare, p.member_name, p.shape);
    prepare.writes = p.writes;
    out.push_back({{}, std::move(prepare), std::nullopt});
    return out;
}

}  // namespace godwitbarrow::pooler::detail
