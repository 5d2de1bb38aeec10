#include "primary_evidence.hpp"

#include <algorithm>

#include "sending.hpp"

namespace godwitbarrow::pooler::detail
{
namespace
{

/// Whether the member is outside the data centre of the primary, which may be
/// cut off as a whole, or no member is.
bool is_apart(const group& g, const member& m, const member& primary)
{
    const auto& place = primary.record.data_centre;
    return m.record.data_centre != place ||
           std::all_of(g.members.begin(), g.members.end(),
                       [&](const auto& n)
                       { return n.second.record.data_centre == place; });
}

/// Whether positions of the member are evidence about the primary.
bool can_confirm(const group& g, const member& m,
                 const core::server_id& primary)
{
    if (m.record.server == primary)
        return false;
    const auto p = g.members.find(primary);
    return p == g.members.end() || is_apart(g, m, p->second);
}

/// Whether the member has reported the term of a later primary.
bool knows_successor(const group& g, const member& m,
                     const core::server_id& primary)
{
    const auto p = g.members.find(primary);
    return p != g.members.end() && m.shown_term > p->second.shown_term;
}

std::optional<core::time_point> last_evidence(const group& g,
                                              const core::server_id& primary)
{
    // The outcome of a claim against the primary is not in the store.
    auto out = g.claimed == primary ? std::nullopt : g.claims_read_at;
    for (const auto& [id, m] : g.members)
        if (m.heard_at && can_confirm(g, m, primary) &&
            !knows_successor(g, m, primary))
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

void note_expiry(context& ctx, group& g, const core::server_id& primary,
                 bool expired)
{
    if (g.evidence_expired == expired)
        return;
    g.evidence_expired = expired;
    decision_note n;
    n.message = expired ? "primary not confirmed" : "primary confirmed again";
    n.group = g.members.at(primary).record.group;
    n.server = primary;
    if (expired)
        n.detail = "neither the store nor another member has answered";
    ctx.out.push_back(std::move(n));
}

const backend_connection* connection_of(const context& ctx,
                                        const caller_session& s)
{
    const auto c = ctx.pooler.connections.find(s.tx.connection);
    return c == ctx.pooler.connections.end() ? nullptr : &c->second;
}

}  // namespace

void record_exchange(member& m, core::time_point began,
                     const std::optional<core::log_position>& at)
{
    if (!at)
        return;
    m.heard_at = std::max(m.heard_at.value_or(began), began);
    m.shown_term = std::max(m.shown_term, at->term);
}

void record_claims_read(context& ctx, const claims_read& what)
{
    for (const auto& it : what.claims)
    {
        const auto g = ctx.pooler.groups.find(it.group);
        if (g == ctx.pooler.groups.end() || it.token < g->second.claim_token)
            continue;
        g->second.claimed = it.replaced;
        g->second.claim_token = it.token;
    }
    for (auto& [id, g] : ctx.pooler.groups)
        g.claims_read_at =
            std::max(g.claims_read_at.value_or(what.began), what.began);
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
    if (!needs_evidence(ctx, g) || g.members.count(primary) == 0)
        return;
    const auto& settings = ctx.pooler.settings;
    const auto limit = *settings.evidence_limit;
    const auto at = last_evidence(g, primary);
    const auto age = at ? ctx.now - *at : core::duration(limit);
    const bool just_asked =
        g.evidence_asked_at &&
        ctx.now - *g.evidence_asked_at < settings.evidence_interval;
    if (age < limit / 2)
        return note_expiry(ctx, g, primary, false);
    auto* m = next_to_ask(g, primary);
    if (just_asked || !m)
        return;
    if (age >= limit && g.evidence_asked_at &&
        ctx.now - *g.evidence_asked_at < limit)
        note_expiry(ctx, g, primary, true);
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
