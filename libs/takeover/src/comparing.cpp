#include "comparing.hpp"

#include <algorithm>

#include "fencing.hpp"
#include "promoting.hpp"
#include "settling.hpp"

namespace godwitbarrow::takeover::detail
{
namespace
{

/// Returns whether enough members have answered to promote one of them. A
/// commit that is acknowledged after one of n replicas received it is found by
/// querying all n.
bool enough_reports(const takeover_state& state)
{
    if (state.view.synchronous_replicas == 0)
        return !state.reports.empty();
    return state.reports.size() + state.view.synchronous_replicas >
           state.queried.size();
}

/// Returns the member that is already primary, other than the one to replace.
std::optional<core::server_id> find_other_primary(const takeover_state& state)
{
    for (const auto& [id, report] : state.reports)
        if (report.role == core::member_role::primary && id != state.replaced)
            return id;
    return std::nullopt;
}

struct candidate
{
    core::server_id server;
    core::log_position received;
};

/// Returns the member with the highest log position of those that stay or of
/// those that are leaving.
std::optional<candidate> find_best(const takeover_state& state, bool leaving)
{
    std::optional<candidate> best;
    for (const auto& [id, report] : state.reports)
    {
        if (is_leaving(state, id) != leaving)
            continue;
        if (!best || best->received < report.received)
            best = candidate{id, report.received};
    }
    return best;
}

/// Returns the member to promote. A member that is leaving is used if it alone
/// has received the newest commits of a group with synchronous replicas: they
/// may have been acknowledged, and its log outlives it.
std::optional<candidate> find_target(const takeover_state& state)
{
    auto staying = find_best(state, false);
    if (state.view.synchronous_replicas == 0)
        return staying;
    auto leaving = find_best(state, true);
    if (!staying || (leaving && staying->received < leaving->received))
        return leaving;
    return staying;
}

/// Forgets the reports of members that refused to be promoted. With synchronous
/// replicas they count, since they may hold commits that no other member has.
void drop_refused(takeover_state& state)
{
    if (state.view.synchronous_replicas > 0)
        return;
    for (const auto& id : state.refused_targets)
        state.reports.erase(id);
}

/// Whether the member receives nothing more, so that the position in its report
/// is final. A member that leads has no pause.
bool has_stopped(const takeover_state& state, const member_report& report)
{
    if (!pauses_replication(state) || report.role == core::member_role::primary)
        return true;
    // The pauses of other members raise the newest term that they report, so it
    // is compared with those of the logs only.
    return report.paused_at >
           std::max(state.newest_log_term, state.view.newest_term);
}

void query_member(context& ctx, const core::server_id& id)
{
    auto& state = ctx.state;
    ask_member query{id, std::nullopt, std::nullopt, false};
    if (pauses_replication(state))
    {
        query.pause_replication_at = next_term(state);
        state.pause_terms[id] = *query.pause_replication_at;
        state.paused.insert(id);
    }
    ctx.out.push_back(std::move(query));
}

/// Drops the reports of replicas that still receive and asks them again, once
/// for each newer term that became known.
void repeat_pauses(context& ctx)
{
    auto& state = ctx.state;
    for (auto it = state.reports.begin(); it != state.reports.end();)
    {
        const auto& [id, report] = *it;
        if (has_stopped(state, report))
        {
            ++it;
            continue;
        }
        report_step(ctx, "replica not paused", id,
                    "paused at " + std::to_string(report.paused_at) +
                        ", newest log term " +
                        std::to_string(state.newest_log_term));
        if (state.pause_terms[id] < next_term(state))
            query_member(ctx, id);
        it = state.reports.erase(it);
    }
}

}  // namespace

void query_members(context& ctx)
{
    auto& state = ctx.state;
    enter_phase(ctx, phase::querying);
    state.queried.clear();
    state.reports.clear();
    for (const auto& id : state.view.candidates)
        state.queried.insert(id);
    if (pauses_replication(state))
        state.queried.insert(state.view.leaving_members.begin(),
                             state.view.leaving_members.end());
    // A member that a late order has promoted since the claim was made.
    if (state.view.primary)
        state.queried.insert(*state.view.primary);
    if (!state.primary_stepped_down)
        state.queried.erase(state.replaced);
    else if (is_registered(state, state.replaced))
        state.queried.insert(state.replaced);
    else
        // It has left and cannot be promoted again.
        state.primary_position.reset();
    for (const auto& id : state.queried)
        query_member(ctx, id);
    if (state.queried.empty())
        pause_for(ctx, ctx.settings.retry_delay);
}

void query_new_members(context& ctx)
{
    auto& state = ctx.state;
    if (!pauses_replication(state))
        return;
    auto members = state.view.candidates;
    members.insert(members.end(), state.view.leaving_members.begin(),
                   state.view.leaving_members.end());
    if (state.view.primary)
        members.push_back(*state.view.primary);
    for (const auto& id : members)
        if (id != state.replaced && state.queried.insert(id).second)
            query_member(ctx, id);
}

void handle_report(context& ctx, const member_answered& input)
{
    auto& state = ctx.state;
    if (state.queried.count(input.server) == 0)
        return;
    if (input.report)
        state.reports[input.server] = *input.report;
    else if (state.view.synchronous_replicas == 0)
        state.queried.erase(input.server);
    repeat_pauses(ctx);
    if (state.reports.size() >= state.queried.size())
        choose_target(ctx);
}

void choose_target(context& ctx)
{
    auto& state = ctx.state;
    if (const auto other = find_other_primary(state))
    {
        report_step(ctx, "primary found", *other, "member is already primary");
        state.primary_stepped_down = false;
        if (pauses_replication(state))
            return keep_under_claim(ctx, *other);
        ctx.out.push_back(primary_known{*other, true});
        return pause_for(ctx, ctx.settings.promotion_settle_time);
    }
    drop_refused(state);
    const auto best = find_target(state);
    if (!best || !enough_reports(state) ||
        state.refused_targets.count(best->server) > 0)
        return pause_for(ctx, ctx.settings.retry_delay);
    state.target = best->server;
    replace_primary(ctx);
}

}  // namespace godwitbarrow::takeover::detail
