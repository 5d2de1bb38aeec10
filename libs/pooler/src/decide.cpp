#include "godwitbarrow/pooler/decide.hpp"

#include <algorithm>

#include "answers.hpp"
#include "connections.hpp"
#include "expiry.hpp"
#include "freshness.hpp"
#include "placement.hpp"
#include "sessions.hpp"

namespace godwitbarrow::pooler
{
namespace detail
{

std::string_view to_string(failure_code it)
{
    switch (it)
    {
        case failure_code::busy:
            return "busy";
        case failure_code::lagging:
            return "lagging";
        case failure_code::read_only:
            return "read_only";
        case failure_code::misrouted:
            return "misrouted";
        case failure_code::too_many_connections:
            return "too_many_connections";
        case failure_code::failed:
            return "failed";
        case failure_code::timed_out:
            return "timed_out";
        case failure_code::unknown_statement:
            return "unknown_statement";
        case failure_code::unknown_database:
            return "unknown_database";
        case failure_code::malformed:
            return "malformed";
        case failure_code::too_large:
            return "too_large";
        case failure_code::aborted:
            return "aborted";
        case failure_code::in_doubt:
            return "in_doubt";
    }
    return "failed";
}

namespace
{

void take_configuration(context& in, const configuration& to)
{
    // A row that is read again after a lost connection may be an older one.
    if (to.version <= in.pooler.active_configuration.version)
        return;
    in.pooler.active_configuration = to;
    for (const auto& [id, settings] : to.groups)
        in.pooler.groups[id].settings = settings;
    decision_note n;
    n.message = "configuration in force";
    n.detail = "version " + std::to_string(to.version);
    in.out.push_back(std::move(n));
}

/// Closes the idle connections of a member that is no longer the same.
void drop_idle(context& in, const member& m)
{
    const std::vector<connection_number> all(m.connections.begin(),
                                             m.connections.end());
    for (const auto number : all)
        if (in.pooler.connections.at(number).phase == connection_phase::idle)
            drop_connection(in, number);
}

void note_member(context& in, const registration& about, std::string what)
{
    decision_note n;
    n.message = std::move(what);
    n.group = about.group;
    n.server = about.server;
    n.detail = "registration " + std::to_string(about.version);
    in.out.push_back(std::move(n));
}

void remove_missing(context& in, group& g,
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
        drop_idle(in, it->second);
        note_member(in, it->second.record, "member is gone");
        if (g.primary == it->first)
            g.primary.reset();
        it = g.members.erase(it);
    }
}

void update_member(context& in, group& g, const registration& to)
{
    auto [it, added] = g.members.try_emplace(to.server);
    auto& m = it->second;
    const auto before = m.record;
    m.record = to;
    if (added)
        return note_member(in, to, "member appeared");
    if (!(before.address == to.address) || before.incarnation != to.incarnation)
    {
        m.failed_opens = 0;
        m.open_after.reset();
        drop_idle(in, m);
        note_member(in, to, "member started again");
    }
    if (to.leaving && !before.leaving)
        note_member(in, to, "member is leaving");
}

void take_members(context& in, const members_changed& what)
{
    std::map<core::server_id, registration> listed;
    for (const auto& it : what.registrations)
        listed.emplace(it.server, it);
    for (auto& [id, g] : in.pooler.groups)
        remove_missing(in, g, listed);
    for (const auto& [id, it] : listed)
    {
        auto& g = in.pooler.groups[it.group];
        update_member(in, g, it);
        auto& m = g.members.at(id);
        if (!it.leaving)
            m.leaving_since.reset();
        else if (!m.leaving_since)
            m.leaving_since = in.now;
        if (it.leaving && g.primary != id)
            drop_idle(in, m);
    }
    for (auto& [id, g] : in.pooler.groups)
    {
        adopt_reported_primary(g, in.now);
        dispatch(in, g);
    }
}

void note_stall(state& it, core::time_point now)
{
    if (!it.active_sessions.empty() &&
        now - it.last_event >= it.settings.stall_limit)
        it.stalled_at = now;
    it.last_event = now;
}

struct visitor
{
    context& in;

    void operator()(const caller_started& it) const
    {
        start_session(in, it);
    }
    void operator()(const caller_query& it) const
    {
        take_query(in, it);
    }
    void operator()(const caller_disconnected& it) const
    {
        end_session(in, it.session);
    }
    void operator()(const member_connected& it) const
    {
        take_connected(in, it);
    }
    void operator()(const member_answered& it) const
    {
        take_answer(in, it);
    }
    void operator()(const member_connection_lost& it) const
    {
        take_lost(in, it);
    }
    void operator()(const configuration_changed& it) const
    {
        take_configuration(in, it.config);
    }
    void operator()(const members_changed& it) const
    {
        take_members(in, it);
    }
    void operator()(const primary_confirmed& it) const
    {
        const auto g = in.pooler.groups.find(it.group);
        if (g == in.pooler.groups.end())
            return;
        confirm_primary(g->second, it.server, it.promoted, in.now);
        dispatch(in, g->second);
    }
    void operator()(const host_count_changed& it) const
    {
        in.pooler.live_hosts = std::max<std::size_t>(it.live, 1);
    }
    void operator()(const timer_tick&) const
    {
        expire(in);
    }
    void operator()(const shutdown_started&) const
    {
        begin_shutdown(in);
    }
};

}  // namespace
}  // namespace detail

actions decide(state& it, const event& what, core::time_point now)
{
    detail::note_stall(it, now);
    detail::context in{it, now, {}};
    std::visit(detail::visitor{in}, what);
    return std::move(in.out);
}

primary_view view_primary(const state& it, const core::group_id& group,
                          core::time_point now)
{
    primary_view out;
    const auto g = it.groups.find(group);
    if (g == it.groups.end() || g->second.members.empty())
        return out;
    const auto m = g->second.primary
                       ? g->second.members.find(*g->second.primary)
                       : g->second.members.end();
    if (m == g->second.members.end())
    {
        const auto since = g->second.without_primary;
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
    return !it.active_sessions.empty() || it.shutdown_since.has_value();
}

std::size_t open_sessions(const state& it)
{
    return it.sessions.size();
}

}  // namespace godwitbarrow::pooler
