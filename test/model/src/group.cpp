#include "godwitbarrow/model/group.hpp"

#include <algorithm>

#include "log.hpp"

namespace godwitbarrow::model
{
namespace detail
{

void append(member& to, const commit_ptr& what)
{
    to.log.push_back(what);
    for (const auto& it : what->changes)
        to.items[it.item] = it.value;
}

namespace
{

/// Cuts the log back to what it shares with the primary's.
void drop_divergent(member& it, const member& primary)
{
    std::size_t shared = 0;
    const auto limit = std::min(it.log.size(), primary.log.size());
    // Logs differ at their ends only.
    shared = limit;
    while (shared > 0 && it.log[shared - 1] != primary.log[shared - 1])
        --shared;
    if (shared == it.log.size())
        return;
    it.log.resize(shared);
    it.items.clear();
    for (const auto& n : it.log)
        for (const auto& c : n->changes)
            it.items[c.item] = c.value;
}

void receive(member& to, const member& from, core::time_point now)
{
    if (!to.running || !to.receives || to.paused_at != 0)
        return;
    drop_divergent(to, from);
    to.log_term = from.log_term;
    while (to.log.size() < from.log.size() &&
           from.log[to.log.size()]->made + to.lag <= now)
        append(to, from.log[to.log.size()]);
}

void take_lead(group& it, core::time_point now)
{
    const auto server = it.promotion->server;
    it.promotion.reset();
    const auto m = it.members.find(server);
    const bool leads_already = server == it.primary && !it.stepped_down;
    if (m == it.members.end() || !m->second.running || leads_already)
        return;
    for (const auto& made : it.members.at(it.primary).log)
        if (!contains(m->second, *made))
            it.rolled_back.insert(made);
    if (it.former_primary_leads && leads(it, it.primary))
        it.former_primary = it.primary;
    else
        it.former_primary.reset();
    it.replaced_at = now;
    it.stepped_down = false;
    it.primary = server;
    m->second.log_term = ++it.term;
    m->second.paused_at = 0;
}

/// Ends the lead of a replaced primary that has reached its successor.
/// Returns whether it did.
bool end_former_primary(group& it, core::time_point now)
{
    if (!it.former_primary)
        return false;
    const auto& m = it.members.at(*it.former_primary);
    const bool reached =
        m.receives && now - it.replaced_at >= it.former_primary_time;
    if (!reached && m.running)
        return false;
    it.former_primary.reset();
    return true;
}

}  // namespace
}  // namespace detail

group make_group(const std::string& name,
                 const std::vector<std::string>& members)
{
    group it;
    it.name = {name};
    for (const auto& n : members)
        it.members[{n}];
    it.primary = {members.front()};
    return it;
}

session_number open_session(group& it, const core::server_id& server)
{
    const auto number = ++it.last_session;
    it.sessions[number].server = server;
    return number;
}

void close_session(group& it, session_number session)
{
    it.sessions.erase(session);
}

bool advance(group& it, core::time_point now)
{
    const auto before = it.primary;
    if (it.promotion && it.promotion->due <= now)
        detail::take_lead(it, now);
    const bool ended = detail::end_former_primary(it, now);
    const auto& primary = it.members.at(it.primary);
    if (primary.running)
        for (auto& [id, m] : it.members)
            if (id != it.primary && it.former_primary != id)
                detail::receive(m, primary, now);
    return ended || it.primary != before;
}

bool order_promotion(group& it, const core::server_id& server,
                     core::time_point now)
{
    const auto m = it.members.find(server);
    if (m == it.members.end() || !m->second.running)
        return false;
    if (server != it.primary || it.stepped_down)
        it.promotion = pending_promotion{server, now + it.promotion_time};
    return true;
}

void stop_member(group& it, const core::server_id& server)
{
    auto& m = it.members.at(server);
    m.running = false;
    m.paused_at = 0;
    for (auto n = it.sessions.begin(); n != it.sessions.end();)
        n = n->second.server == server ? it.sessions.erase(n) : std::next(n);
}

void start_member(group& it, const core::server_id& server)
{
    it.members.at(server).running = true;
}

core::log_position position_of(const member& it)
{
    return {it.log_term, it.log.size()};
}

bool contains(const member& it, const commit& what)
{
    const auto n = what.at.position;
    return it.log.size() >= n && it.log[n - 1].get() == &what;
}

bool has_position(const member& it, const core::log_position& at)
{
    if (at.term > it.log_term || at.position > it.log.size())
        return false;
    return at.position == 0 || it.log[at.position - 1]->at.term <= at.term;
}

bool leads(const group& it, const core::server_id& server)
{
    const bool present = it.primary == server && !it.stepped_down;
    return (present || it.former_primary == server) &&
           it.members.at(server).running;
}

void step_down(group& it, const core::server_id& server, core::term_number term)
{
    if (term <= it.members.at(server).log_term)
        return;
    if (it.former_primary == server)
        it.former_primary.reset();
    if (it.primary == server)
        it.stepped_down = true;
}

}  // namespace godwitbarrow::model
