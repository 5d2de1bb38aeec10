#include "observations.hpp"

#include <algorithm>
#include <utility>

#include "connections.hpp"
#include "freshness.hpp"

namespace godwitbarrow::pooler::detail
{
namespace
{

/// Skips a lagging replica, doubling the back-off with each refusal.
void back_off_lagging(context& ctx, member& m)
{
    const auto& settings = ctx.pooler.settings;
    m.last_lag_back_off =
        m.last_lag_back_off.count() == 0
            ? settings.lag_back_off
            : std::min(m.last_lag_back_off * 2, settings.max_lag_back_off);
    m.lagging_until = ctx.now + m.last_lag_back_off;
}

}  // namespace

member* find_member(context& ctx, const backend_connection& c)
{
    const auto g = ctx.pooler.groups.find(c.group);
    if (g == ctx.pooler.groups.end())
        return nullptr;
    const auto m = g->second.members.find(c.server);
    return m == g->second.members.end() ? nullptr : &m->second;
}

void log_observation(context& ctx, const backend_connection& c,
                     std::string what, std::string detail)
{
    decision_note n;
    n.message = std::move(what);
    n.group = c.group;
    n.server = c.server;
    n.detail = std::move(detail);
    ctx.out.push_back(std::move(n));
}

void record_refusal(context& ctx, backend_connection& c, const failure& why)
{
    auto* m = find_member(ctx, c);
    if (!m)
        return;
    if (why.code == failure_code::lagging)
        back_off_lagging(ctx, *m);
    if (why.code == failure_code::busy)
        m->busy_until = ctx.now + ctx.pooler.settings.busy_back_off;
    if (why.code != failure_code::read_only)
        return;
    auto& g = ctx.pooler.groups.at(c.group);
    if (g.primary == c.server)
        log_observation(ctx, c, "member is not the primary", "refused a write");
    record_primary_denial(g, *m, ctx.now);
}

void record_primary_proof(context& ctx, const backend_connection& c,
                          const std::optional<core::log_position>& at)
{
    const auto g = ctx.pooler.groups.find(c.group);
    if (g == ctx.pooler.groups.end() ||
        is_revoked(g->second, c.server, ctx.pooler.settings, ctx.now))
        return;
    if (g->second.primary != c.server)
        log_observation(ctx, c, "member is the primary",
                        "accepted a transaction");
    record_primary_position(g->second, c.server, c.sent, at);
}

}  // namespace godwitbarrow::pooler::detail
