#include "godwitbarrow/takeover/decide.hpp"

#include <algorithm>

namespace godwitbarrow::takeover
{
namespace detail
{
namespace
{

struct context
{
    takeover_state& it;
    const takeover_settings& settings;
    core::time_point now;
    actions out;
};

void enter(context& in, phase next)
{
    in.it.at = next;
    in.it.since = in.now;
}

void pause(context& in, std::chrono::milliseconds time)
{
    in.it.pause = time;
    enter(in, phase::pausing);
}

void note(context& in, std::string name, core::server_id server,
          std::string detail = {})
{
    in.out.push_back(
        failover_step{std::move(name), std::move(server), std::move(detail)});
}

core::server_id suspect_of(const takeover_state& it)
{
    return it.view.primary.value_or(core::server_id{});
}

bool wanted(const takeover_state& it)
{
    return it.view.unreachable || it.view.leaving;
}

void start_reading(context& in)
{
    enter(in, phase::reading);
    in.out.push_back(read_rows{});
}

/// A primary that is leaving or unknown needs no confirmation.
void start(context& in)
{
    if (!in.it.view.primary || in.it.view.leaving)
        return start_reading(in);
    enter(in, phase::confirming);
    in.out.push_back(ask_member{*in.it.view.primary, std::nullopt});
}

struct vote_count
{
    std::size_t hosts = 1;
    /// Time that these hosts together have been without the primary.
    std::chrono::milliseconds lost{0};
};

/// Counts this host and the fresh votes of others.
vote_count count_votes(const context& in, const rows_read& rows)
{
    vote_count out;
    out.lost = in.it.view.unreachable_for;
    for (const auto& [host, v] : rows.votes)
    {
        const bool fresh =
            rows.store_time - v.renewed <= in.settings.vote_limit;
        if (!fresh || host == in.settings.self ||
            v.suspect != suspect_of(in.it))
            continue;
        ++out.hosts;
        out.lost += rows.store_time - v.since;
    }
    return out;
}

/// Whether half of the hosts miss the primary and replacing it costs all of
/// them less than waiting, or this host has waited long enough.
bool enough_votes(const context& in, const rows_read& rows)
{
    const auto votes = count_votes(in, rows);
    const auto live = in.it.view.live_hosts;
    const auto cost = in.settings.promotion_cost *
                      static_cast<std::chrono::milliseconds::rep>(live);
    if (2 * votes.hosts >= live && votes.lost >= cost)
        return true;
    return in.it.suspected_since &&
           in.now - *in.it.suspected_since >= in.settings.lone_limit;
}

void cast_vote(context& in, const rows_read& rows)
{
    const auto own = rows.votes.find(in.settings.self);
    const bool renewed =
        own != rows.votes.end() && own->second.suspect == suspect_of(in.it) &&
        rows.store_time - own->second.renewed < in.settings.vote_interval;
    if (renewed)
        return pause(in, in.settings.pause);
    enter(in, phase::voting);
    in.out.push_back(write_vote{{suspect_of(in.it),
                                 rows.store_time - in.it.view.unreachable_for,
                                 rows.store_time}});
}

void start_asking(context& in)
{
    auto& s = in.it;
    enter(in, phase::asking);
    s.asked.clear();
    s.reports.clear();
    const bool pausing = s.view.synchronous_replicas > 0;
    for (const auto& id : s.view.candidates)
        s.asked.insert(id);
    if (pausing)
        s.asked.insert(s.view.leaving_members.begin(),
                       s.view.leaving_members.end());
    for (const auto& id : s.asked)
    {
        ask_member ask{id, std::nullopt};
        if (pausing)
            ask.pause_replication_at = s.newest_term + 1;
        in.out.push_back(std::move(ask));
    }
    if (s.asked.empty())
        pause(in, in.settings.pause);
}

void take_rows(context& in, const rows_read& rows)
{
    auto& s = in.it;
    if (s.at != phase::reading)
        return;
    auto next = rows.last_claim.value_or(claim{});
    const bool recent =
        next.token > 0 && rows.store_time - next.made < in.settings.claim_limit;
    if (recent && next.holder == in.settings.self && s.token == next.token)
        return start_asking(in);
    if (recent && next.holder != in.settings.self)
        return pause(in, in.settings.pause);
    if (!s.view.leaving && !enough_votes(in, rows))
        return cast_vote(in, rows);
    next.holder = in.settings.self;
    next.replaced = suspect_of(s);
    next.made = rows.store_time;
    s.token = ++next.token;
    s.refused.clear();
    s.orders = 0;
    enter(in, phase::claiming);
    in.out.push_back(write_claim{std::move(next), rows.version});
}

void take_written(context& in, const row_written& what)
{
    auto& s = in.it;
    if (s.at == phase::voting)
        return pause(in, in.settings.pause);
    if (s.at != phase::claiming)
        return;
    // A claim whose answer was lost may hold; the next read shows it.
    if (what.result != write_result::done)
        return pause(in, in.settings.pause);
    s.claimed = in.now;
    note(in, "takeover claimed", suspect_of(s),
         "token " + std::to_string(s.token));
    start_asking(in);
}

void order(context& in)
{
    enter(in, phase::ordering);
    ++in.it.orders;
    in.out.push_back(order_promotion{in.it.target, in.it.token});
}

/// Members that must have answered before one is promoted. A commit that is
/// acknowledged after one of n replicas received it is found by asking all.
bool may_choose(const takeover_state& it)
{
    if (it.view.synchronous_replicas == 0)
        return !it.reports.empty();
    return it.reports.size() + it.view.synchronous_replicas > it.asked.size();
}

void choose(context& in)
{
    auto& s = in.it;
    const core::server_id* best = nullptr;
    core::log_position received;
    for (const auto& [id, report] : s.reports)
    {
        if (report.role == core::member_role::primary && id != suspect_of(s))
        {
            note(in, "primary found", id, "it leads already");
            in.out.push_back(primary_known{id, true});
            return pause(in, in.settings.settle_limit);
        }
        const bool leaving = std::count(s.view.leaving_members.begin(),
                                        s.view.leaving_members.end(), id) > 0;
        if (leaving || s.refused.count(id) > 0)
            continue;
        if (best && !(received < report.received))
            continue;
        best = &id;
        received = report.received;
    }
    if (!best || !may_choose(s))
        return pause(in, in.settings.pause);
    s.target = *best;
    note(in, "promotion ordered", s.target,
         "received " + std::to_string(received.term) + "." +
             std::to_string(received.position) + " token " +
             std::to_string(s.token));
    order(in);
}

void take_report(context& in, const member_answered& what)
{
    auto& s = in.it;
    if (what.report)
        s.newest_term = std::max(s.newest_term, what.report->newest_term);
    if (s.at == phase::confirming && what.server == suspect_of(s))
    {
        const bool leads =
            what.report && what.report->role == core::member_role::primary;
        if (!leads)
            return start_reading(in);
        in.out.push_back(primary_known{what.server, false});
        return enter(in, phase::idle);
    }
    if (s.at != phase::asking || s.asked.count(what.server) == 0)
        return;
    if (what.report)
        s.reports[what.server] = *what.report;
    else
        s.asked.erase(what.server);
    if (s.reports.size() >= s.asked.size())
        choose(in);
}

void take_order(context& in, const promotion_answered& what)
{
    auto& s = in.it;
    if (s.at != phase::ordering)
        return;
    if (what.result == order_result::accepted)
    {
        note(in, "promotion accepted", s.target);
        in.out.push_back(primary_known{s.target, true});
        return pause(in, in.settings.settle_limit);
    }
    if (what.result == order_result::unknown &&
        s.orders < in.settings.most_orders)
        return order(in);
    // Refused: the member does not run, or another host holds a newer claim.
    // The row tells which.
    note(in, "promotion refused", s.target);
    s.refused.insert(s.target);
    pause(in, in.settings.pause);
}

void resume(context& in)
{
    if (!wanted(in.it))
        return enter(in, phase::idle);
    start(in);
}

void check_time(context& in)
{
    auto& s = in.it;
    const auto waited = in.now - s.since;
    switch (s.at)
    {
        case phase::idle:
            if (wanted(s))
                start(in);
            return;
        case phase::pausing:
            if (waited >= s.pause)
                resume(in);
            return;
        case phase::confirming:
            if (waited >= in.settings.answer_limit)
                start_reading(in);
            return;
        case phase::asking:
            if (waited >= in.settings.answer_limit)
                choose(in);
            return;
        default:
            return;
    }
}

void take_view(context& in, const group_view_updated& what)
{
    auto& s = in.it;
    s.view = what.view;
    if (!s.view.unreachable)
        s.suspected_since.reset();
    else if (!s.suspected_since)
        s.suspected_since = in.now;
    check_time(in);
}

struct visitor
{
    context& in;

    void operator()(const group_view_updated& it) const
    {
        take_view(in, it);
    }
    void operator()(const rows_read& it) const
    {
        take_rows(in, it);
    }
    void operator()(const row_written& it) const
    {
        take_written(in, it);
    }
    void operator()(const store_failed&) const
    {
        const auto at = in.it.at;
        if (at == phase::reading || at == phase::voting ||
            at == phase::claiming)
            pause(in, in.settings.pause);
    }
    void operator()(const member_answered& it) const
    {
        take_report(in, it);
    }
    void operator()(const promotion_answered& it) const
    {
        take_order(in, it);
    }
    void operator()(const time_passed&) const
    {
        check_time(in);
    }
};

}  // namespace
}  // namespace detail

actions decide(takeover_state& it, const takeover_settings& settings,
               const event& what, core::time_point now)
{
    detail::context in{it, settings, now, {}};
    std::visit(detail::visitor{in}, what);
    return std::move(in.out);
}

bool is_active(const takeover_state& it)
{
    return it.at != phase::idle;
}

}  // namespace godwitbarrow::takeover
