#include "primary_evidence.hpp"

#include <algorithm>

#include "sending.hpp"

namespace godwitbarrow::pooler::detail
{
namespace
{

/// Whether an answer of the member is evidence about the primary. A data centre
/// may be cut off as a whole, so a member beside the primary shows nothing if
/// there are others.
bool can_confirm(const group& g, const member& m,
                 const core::server_id& primary)
{
    if (m.record.server == primary)
        return false;
    const auto p = g.members.find(primary);
    if (p == g.members.end())
        return true;
    const auto& place = p->second.record.data_centre;
    return m.record.data_centre != place ||
           std::all_of(g.members.begin(), g.members.end(),
                       [&](const auto& n)
                       { return n.second.record.data_centre == place; });
}

std::optional<core::time_point> last_evidence(const group& g,
                                              const core::server_id& primary)
{
    auto out = g.claims_read_at;
    for (const auto& [id, m] : g.members)
        if (m.heard_at && can_confirm(g, m, primary))
            out = std::max(out.value_or(*m.heard_at), *m.heard_at);
    return out;
}

/// A group with no other member has none to promote.
bool needs_evidence(const context& ctx, const group& g)
{
    return ctx.pooler.settings.evidence_limit && g.members.size() > 1;
}

/// The member that was not asked for the longest time.
member* next_to_ask(group& g, const core::server_id& primary)
{
    member* out = nullptr;
    for (auto& [id, m] : g.members)
        if (can_confirm(g, m, primary) && (!out || m.asked_at < out->asked_at))
            out = &m;
    return out;
}

const backend_connection* connection_of(const context& ctx,
                                        const caller_session& s)
{
    const auto c = ctx.pooler.connections.find(s.tx.connection);
    return c == ctx.pooler.connections.end() ? nullptr : &c->second;
}

}  // namespace

void record_exchange(const group& g, member& m, core::time_point began,
                     const std::optional<core::log_position>& at)
{
    const auto& samples = g.history.samples;
    if (at && !samples.empty() && at->term > samples.back().at.term)
        return;
    m.heard_at = std::max(m.heard_at.value_or(began), began);
}

void record_claims_read(group& g, core::time_point began)
{
    g.claims_read_at = std::max(g.claims_read_at.value_or(began), began);
}

bool is_confirmed(const context& ctx, const group& g,
                  const core::server_id& primary)
{
    if (!needs_evidence(ctx, g))
        return true;
    const auto at = last_evidence(g, primary);
    return at && ctx.now - *at < *ctx.pooler.settings.evidence_limit;
}

bool is_confirmed(const context& ctx, const backend_connection& c)
{
    const auto g = ctx.pooler.groups.find(c.group);
    return g == ctx.pooler.groups.end() ||
           is_confirmed(ctx, g->second, c.server);
}

void refresh_evidence(context& ctx, group& g, const core::server_id& primary)
{
    if (!needs_evidence(ctx, g))
        return;
    const auto& settings = ctx.pooler.settings;
    const auto limit = *settings.evidence_limit;
    const auto at = last_evidence(g, primary);
    const auto age = at ? ctx.now - *at : core::duration(limit);
    const bool just_asked =
        g.evidence_asked_at &&
        ctx.now - *g.evidence_asked_at < settings.evidence_interval;
    auto* m = next_to_ask(g, primary);
    if (age < limit / 2 || just_asked || !m)
        return;
    m->asked_at = ctx.now;
    g.evidence_asked_at = ctx.now;
    ctx.out.push_back(confirm_primary{m->record, age >= limit * 2 / 3});
}

bool awaits_evidence(const context& ctx, const caller_session& s)
{
    const bool writes = s.tx.wrote || writes_data(s, s.current->request.stmt);
    const auto* c = connection_of(ctx, s);
    return writes && c && !is_confirmed(ctx, *c);
}

void refresh_evidence(context& ctx, const caller_session& s)
{
    const auto* c = connection_of(ctx, s);
    if (!c || s.tx.read_only)
        return;
    const auto g = ctx.pooler.groups.find(c->group);
    if (g != ctx.pooler.groups.end())
        refresh_evidence(ctx, g->second, c->server);
}

}  // namespace godwitbarrow::pooler::detail
