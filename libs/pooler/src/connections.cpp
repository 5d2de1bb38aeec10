#include "connections.hpp"

#include <algorithm>

#include "freshness.hpp"

namespace godwitbarrow::pooler::detail
{
namespace
{

/// Number of prepared statements at which a connection is reset.
constexpr std::size_t max_prepared_per_connection = 256;

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

statement internal_statement(verb kind, std::string name = {},
                             std::string text = {})
{
    return {kind, std::move(name), false, std::move(text)};
}

}  // namespace

std::size_t connection_limit(const state& all, const group& g)
{
    // A share is left over for status queries, for hosts that reach no owner
    // and for the connections of an owner that was replaced.
    const auto parts = g.share ? g.share->owners + 1 : all.live_hosts;
    const bool owned = !g.share || g.share->owned;
    const auto limit =
        g.settings.max_connections / std::max<std::size_t>(parts, 1);
    return owned ? std::max<std::size_t>(limit, 1) : 1;
}

std::size_t running_limit(const state& all, const member& m)
{
    const auto g = all.groups.find(m.record.group);
    const bool shared = g != all.groups.end() && g->second.share;
    const auto hosts = std::max<std::size_t>(
        shared ? g->second.share->owners : all.live_hosts, 1);
    const bool remote = m.record.data_centre != all.settings.data_centre;
    const auto total = m.record.slots * all.settings.statements_per_slot *
                       (remote ? all.settings.remote_factor : 1);
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
        if (c.phase != connection_phase::idle || c.workspace != s.workspace)
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

bool is_surplus(const context& ctx, const backend_connection& c)
{
    const auto g = ctx.pooler.groups.find(c.group);
    if (g == ctx.pooler.groups.end())
        return false;
    const auto m = g->second.members.find(c.server);
    return m != g->second.members.end() &&
           m->second.connections.size() >
               connection_limit(ctx.pooler, g->second);
}

bool is_on_revoked_primary(const context& ctx, const backend_connection& c)
{
    const auto g = ctx.pooler.groups.find(c.group);
    return g != ctx.pooler.groups.end() &&
           is_revoked(g->second, c.server, ctx.pooler.settings, ctx.now);
}

namespace
{

/// Returns the idle connection of another workspace that was not used for the
/// longest time; 0 if there is none.
connection_number least_recently_used(const state& all, const member& m,
                                      const core::workspace_id& except)
{
    connection_number oldest = 0;
    for (const auto number : m.connections)
    {
        const auto& c = all.connections.at(number);
        if (c.phase != connection_phase::idle || c.workspace == except)
            continue;
        if (oldest == 0 ||
            c.phase_since < all.connections.at(oldest).phase_since)
            oldest = number;
    }
    return oldest;
}

/// Closes a connection of another workspace if the limit is reached. Returns
/// whether one more may be opened.
bool make_room(context& ctx, const group& g, member& m,
               const core::workspace_id& workspace)
{
    const auto limit = connection_limit(ctx.pooler, g);
    if (m.connections.size() < limit)
        return true;
    const auto unused = least_recently_used(ctx.pooler, m, workspace);
    if (unused != 0)
        drop_connection(ctx, unused);
    return m.connections.size() < limit;
}

}  // namespace

bool open_within_limits(context& ctx, const group& g, member& m,
                        const core::workspace_id& workspace, std::size_t wanted)
{
    if (m.reopen_after && *m.reopen_after > ctx.now)
        return false;
    const auto opening =
        std::count_if(m.connections.begin(), m.connections.end(),
                      [&](connection_number n) {
                          return ctx.pooler.connections.at(n).phase ==
                                 connection_phase::opening;
                      });
    if (static_cast<std::size_t>(opening) >=
        std::min(ctx.pooler.settings.max_concurrent_opens, wanted))
        return false;
    if (!make_room(ctx, g, m, workspace))
        return false;
    const auto number = ++ctx.pooler.last_connection;
    backend_connection c;
    c.group = m.record.group;
    c.server = m.record.server;
    c.workspace = workspace;
    c.phase_since = ctx.now;
    ctx.pooler.connections.emplace(number, std::move(c));
    m.connections.insert(number);
    ctx.out.push_back(open_connection{number, m.record.group, m.record.server,
                                      m.record.address, workspace});
    return true;
}

void remove_connection(context& ctx, connection_number number)
{
    const auto it = ctx.pooler.connections.find(number);
    if (it == ctx.pooler.connections.end())
        return;
    const auto g = ctx.pooler.groups.find(it->second.group);
    if (g != ctx.pooler.groups.end())
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
    ctx.pooler.connections.erase(it);
}

void drop_connection(context& ctx, connection_number number)
{
    if (ctx.pooler.connections.count(number) == 0)
        return;
    remove_connection(ctx, number);
    ctx.out.push_back(close_connection{number});
}

void release_connection(context& ctx, connection_number number)
{
    auto& c = ctx.pooler.connections.at(number);
    c.user = 0;
    c.phase_since = ctx.now;
    c.phase = c.outstanding.empty() ? connection_phase::idle
                                    : connection_phase::cleaning;
    const auto g = ctx.pooler.groups.find(c.group);
    const bool known =
        g != ctx.pooler.groups.end() && g->second.members.count(c.server) > 0;
    const bool leaving = known &&
                         g->second.members.at(c.server).record.leaving &&
                         g->second.primary != c.server;
    if (c.phase == connection_phase::idle &&
        (!known || leaving || is_surplus(ctx, c) || c.setup_failure))
        drop_connection(ctx, number);
}

void roll_back(context& ctx, connection_number number)
{
    auto& c = ctx.pooler.connections.at(number);
    c.outstanding.push_back(purpose::cleanup);
    c.sent = ctx.now;
    ctx.out.push_back(send_to_member{
        number, {{{}, internal_statement(verb::rollback), std::nullopt}}});
    release_connection(ctx, number);
}

void finish_connection(context& ctx, connection_number number,
                       session_state left)
{
    if (ctx.pooler.connections.count(number) == 0)
        return;
    if (left == session_state::idle)
        release_connection(ctx, number);
    else
        roll_back(ctx, number);
}

std::vector<query> setup_statements(backend_connection& c,
                                    const caller_session& s)
{
    std::vector<query> out;
    const bool too_many_prepared =
        c.prepared.size() >= max_prepared_per_connection;
    if (cost_of(c, s) == switch_cost::reset || too_many_prepared)
    {
        out.push_back({{}, internal_statement(verb::reset), std::nullopt});
        c.values.clear();
        c.prepared.clear();
    }
    for (const auto& [name, value] : s.values)
    {
        const auto it = c.values.find(name);
        if (it != c.values.end() && it->second == value)
            continue;
        out.push_back(
            {{}, internal_statement(verb::set, name, value), std::nullopt});
        c.values[name] = value;
    }
    const auto& what = s.current->request.stmt;
    if (what.kind != verb::execute)
        return out;
    const auto& p = s.prepared.at(what.name);
    if (!c.prepared.insert(p.member_name).second)
        return out;
    auto prepare = internal_statement(verb::prepare, p.member_name, p.shape);
    prepare.writes = p.writes;
    out.push_back({{}, std::move(prepare), std::nullopt});
    return out;
}

}  // namespace godwitbarrow::pooler::detail
