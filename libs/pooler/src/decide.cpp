#include "godwitbarrow/pooler/decide.hpp"

#include <algorithm>

#include "answers.hpp"
#include "connections.hpp"
#include "expiry.hpp"
#include "freshness.hpp"
#include "godwitbarrow/routing/owner.hpp"
#include "placement.hpp"
#include "primary_evidence.hpp"
#include "quotas.hpp"
#include "sessions.hpp"

namespace godwitbarrow::pooler
{
namespace detail
{

namespace
{

void apply_configuration(context& ctx, const configuration& to)
{
    // After a reconnect to the store, an older version of the row may be read.
    if (to.version <= ctx.pooler.active_configuration.version)
        return;
    ctx.pooler.active_configuration = to;
    for (const auto& [id, settings] : to.groups)
        ctx.pooler.groups[id].settings = settings;
    decision_note n;
    n.message = "configuration applied";
    n.detail = "version " + std::to_string(to.version);
    ctx.out.push_back(std::move(n));
}

/// Closes the idle connections of a member that was removed, restarted, moved
/// to another address or is leaving.
void close_idle_connections(context& ctx, const member& m)
{
    const std::vector<connection_number> all(m.connections.begin(),
                                             m.connections.end());
    for (const auto number : all)
        if (ctx.pooler.connections.at(number).phase == connection_phase::idle)
            drop_connection(ctx, number);
}

void log_member(context& ctx, const registration& about, std::string what)
{
    decision_note n;
    n.message = std::move(what);
    n.group = about.group;
    n.server = about.server;
    n.detail = "registration " + std::to_string(about.version);
    ctx.out.push_back(std::move(n));
}

void remove_unregistered(context& ctx, group& g,
                         const std::map<core::server_id, registration>& listed)
{
    for (auto it = g.members.begin(); it != g.members.end();)
    {
        const auto n = listed.find(it->first);
        if (n != listed.end() && n->second.group == it->second.record.group)
        {
            ++it;
            continue;
        }
        close_idle_connections(ctx, it->second);
        log_member(ctx, it->second.record, "member removed");
        if (g.primary == it->first)
            g.primary.reset();
        it = g.members.erase(it);
    }
}

/// Counts the connections that have outlived an earlier registration of the
/// member.
void adopt_connections(const context& ctx, member& m)
{
    for (const auto& [number, c] : ctx.pooler.connections)
    {
        if (c.group != m.record.group || c.server != m.record.server)
            continue;
        m.connections.insert(number);
        if (c.phase == connection_phase::busy)
            ++m.running;
    }
}

void update_member(context& ctx, group& g, const registration& to)
{
    auto [it, added] = g.members.try_emplace(to.server);
    auto& m = it->second;
    const auto before = m.record;
    m.record = to;
    if (added)
    {
        m.preference = routing::rendezvous_hash(to.server.value,
                                                ctx.pooler.settings.host.value);
        adopt_connections(ctx, m);
        return log_member(ctx, to, "member registered");
    }
    if (!(before.address == to.address) || before.incarnation != to.incarnation)
    {
        m.failed_opens = 0;
        m.reopen_after.reset();
        m.fastest_open.reset();
        m.heard_at.reset();
        m.shown_term = 0;
        close_idle_connections(ctx, m);
        log_member(ctx, to, "member restarted");
    }
    if (to.leaving && !before.leaving)
        log_member(ctx, to, "member is leaving");
}

void apply_registrations(context& ctx, const members_changed& what)
{
    std::map<core::server_id, registration> listed;
    for (const auto& it : what.registrations)
        listed.emplace(it.server, it);
    for (auto& [id, g] : ctx.pooler.groups)
        remove_unregistered(ctx, g, listed);
    for (const auto& [id, it] : listed)
    {
        auto& g = ctx.pooler.groups[it.group];
        update_member(ctx, g, it);
        auto& m = g.members.at(id);
        if (!it.leaving)
            m.leaving_since.reset();
        else if (!m.leaving_since)
            m.leaving_since = ctx.now;
        if (it.leaving && g.primary != id)
            close_idle_connections(ctx, m);
    }
    for (auto& [id, g] : ctx.pooler.groups)
    {
        adopt_reported_primary(g, ctx.pooler.settings, ctx.now);
        dispatch(ctx, g);
    }
}

void apply_revocation(context& ctx, const primary_revoked& what)
{
    const auto g = ctx.pooler.groups.find(what.group);
    if (g == ctx.pooler.groups.end() ||
        g->second.members.count(what.server) == 0)
        return;
    if (!is_revoked(g->second, what.server, ctx.pooler.settings, ctx.now))
    {
        decision_note n;
        n.message = "primary revoked";
        n.group = what.group;
        n.server = what.server;
        n.detail = "a host has claimed to replace it";
        ctx.out.push_back(std::move(n));
    }
    revoke_primary(g->second, what.server, ctx.pooler.settings, ctx.now);
    dispatch(ctx, g->second);
}

void apply_settlement(context& ctx, const primary_settled& what)
{
    // The configuration may come later.
    auto& g = ctx.pooler.groups[what.group];
    const auto before = g.settled;
    settle_primary(g, {what.token, what.server, what.unrestricted, ctx.now});
    const bool changed = !before || before->server != g.settled->server;
    if (!what.unrestricted && changed)
    {
        decision_note n;
        n.message = what.server ? "primary settled" : "primary not settled";
        n.group = what.group;
        n.server = what.server.value_or(core::server_id{});
        n.detail = "token " + std::to_string(what.token);
        ctx.out.push_back(std::move(n));
    }
    dispatch(ctx, g);
}

void apply_shares(context& ctx, const group_shares_changed& what)
{
    for (auto& [id, g] : ctx.pooler.groups)
    {
        const auto n = what.shares.find(id);
        g.share.reset();
        if (n != what.shares.end())
            g.share = n->second;
        dispatch(ctx, g);
    }
}

void apply_replica_answer(context& ctx, const replica_answered& what)
{
    const auto g = ctx.pooler.groups.find(what.group);
    if (g == ctx.pooler.groups.end())
        return;
    const auto m = g->second.members.find(what.server);
    if (m == g->second.members.end())
        return;
    record_exchange(m->second, what.began, what.received);
    dispatch(ctx, g->second);
}

void detect_stall(state& it, core::time_point now)
{
    if (!it.active_sessions.empty() &&
        now - it.last_event >= it.settings.stall_limit)
        it.stalled_at = now;
    it.last_event = now;
}

struct visitor
{
    context& ctx;

    void operator()(const caller_started& it) const
    {
        start_session(ctx, it);
    }
    void operator()(const caller_query& it) const
    {
        enqueue_query(ctx, it);
    }
    void operator()(const caller_disconnected& it) const
    {
        end_session(ctx, it.session);
    }
    void operator()(const member_connected& it) const
    {
        handle_connected(ctx, it);
    }
    void operator()(const member_answered& it) const
    {
        handle_answer(ctx, it);
    }
    void operator()(const member_connection_lost& it) const
    {
        handle_connection_lost(ctx, it);
    }
    void operator()(const configuration_changed& it) const
    {
        apply_configuration(ctx, it.config);
    }
    void operator()(const members_changed& it) const
    {
        apply_registrations(ctx, it);
    }
    void operator()(const primary_confirmed& it) const
    {
        const auto g = ctx.pooler.groups.find(it.group);
        if (g == ctx.pooler.groups.end())
            return;
        apply_takeover_result(g->second, it.server, it.promoted, ctx.now);
        dispatch(ctx, g->second);
    }
    void operator()(const primary_revoked& it) const
    {
        apply_revocation(ctx, it);
    }
    void operator()(const primary_settled& it) const
    {
        apply_settlement(ctx, it);
    }
    void operator()(const claims_read& it) const
    {
        record_claims_read(ctx, it);
        for (auto& [id, g] : ctx.pooler.groups)
            dispatch(ctx, g);
    }
    void operator()(const replica_answered& it) const
    {
        apply_replica_answer(ctx, it);
    }
    void operator()(const host_count_changed& it) const
    {
        ctx.pooler.live_hosts = std::max<std::size_t>(it.live, 1);
    }
    void operator()(const group_shares_changed& it) const
    {
        apply_shares(ctx, it);
    }
    void operator()(const relayed_sessions_draining& it) const
    {
        drain_sessions(ctx, it);
    }
    void operator()(const operations_lent& it) const
    {
        handle_lent(ctx, it);
    }
    void operator()(const timer_tick&) const
    {
        expire(ctx);
    }
    void operator()(const shutdown_started&) const
    {
        begin_shutdown(ctx);
    }
};

}  // namespace
}  // namespace detail

actions decide(state& it, const event& what, core::time_point now)
{
    detail::detect_stall(it, now);
    detail::context ctx{it, now, {}};
    std::visit(detail::visitor{ctx}, what);
    return std::move(ctx.out);
}

primary_view view_primary(const state& it, const core::group_id& group,
                          core::time_point now)
{
    primary_view out;
    const auto g = it.groups.find(group);
    if (g == it.groups.end() || g->second.members.empty())
        return out;
    const auto& samples = g->second.history.samples;
    if (!samples.empty())
        out.newest_term = samples.back().at.term;
    const auto m = g->second.primary
                       ? g->second.members.find(*g->second.primary)
                       : g->second.members.end();
    if (m == g->second.members.end())
    {
        const auto since = g->second.no_primary_since;
        out.unreachable = since && now - *since >= it.settings.search_limit;
        if (out.unreachable)
            out.unreachable_for = now - *since;
        return out;
    }
    const auto& p = m->second;
    out.server = p.record.server;
    out.leaving = p.record.leaving;
    const bool failed =
        p.failed_at && (!p.answered_at || *p.failed_at > *p.answered_at);
    if (!failed)
        return out;
    out.unreachable_for = now - p.answered_at.value_or(*p.failed_at);
    out.unreachable =
        !p.answered_at || out.unreachable_for >= it.settings.unreachable_limit;
    return out;
}

bool is_ready(const state& it)
{
    if (it.shutdown_since || it.active_configuration.version == 0)
        return false;
    return std::any_of(it.groups.begin(), it.groups.end(),
                       [](const auto& g) { return !g.second.members.empty(); });
}

bool needs_ticks(const state& it)
{
    return !it.active_sessions.empty() || !it.draining_sessions.empty() ||
           it.shutdown_since.has_value();
}

std::size_t open_sessions(const state& it)
{
    return it.sessions.size();
}

}  // namespace godwitbarrow::pooler
