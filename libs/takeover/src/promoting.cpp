#include "promoting.hpp"

#include <algorithm>

#include "resuming.hpp"

namespace godwitbarrow::takeover::detail
{
namespace
{

/// Whether an order that is sent now is answered, or has timed out, before
/// another host may claim the takeover with a higher token. The platform may
/// not reject a lower token that arrives after a higher one.
bool may_order(const context& ctx)
{
    return ctx.now - ctx.state.claimed_at + ctx.settings.promotion_timeout <
           ctx.settings.claim_ttl;
}

void send_promotion(context& ctx)
{
    if (!may_order(ctx))
        return pause_for(ctx, ctx.settings.retry_delay);
    enter_phase(ctx, phase::promoting);
    ++ctx.state.promotion_attempts;
    ctx.state.unanswered_order_at = ctx.now;
    ctx.out.push_back(order_promotion{ctx.state.target, ctx.state.token});
}

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

/// Returns a term above all that this host knows of. Members ignore a pause or
/// a step-down at any other term.
core::term_number next_term(const takeover_state& state)
{
    return std::max(state.newest_term, state.view.newest_term) + 1;
}

bool pauses_replication(const takeover_state& state)
{
    return state.view.synchronous_replicas > 0;
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

void request_step_down(context& ctx)
{
    auto& state = ctx.state;
    state.step_down_requested_at = ctx.now;
    state.step_down_term = next_term(state);
    ctx.out.push_back(
        ask_member{state.replaced, std::nullopt, state.step_down_term, false});
}

/// Tells the pooler of this host not to use the old primary. Other hosts do so
/// when they see the claim.
void revoke(context& ctx)
{
    auto& state = ctx.state;
    ctx.out.push_back(revoke_primary{state.replaced, state.token});
    if (!state.revoked_at)
        state.revoked_at = ctx.now;
}

/// Whether the hosts have had time to see the claim. Commits that they had sent
/// before are complete and replicated by then.
bool is_revoked_everywhere(const context& ctx)
{
    return ctx.state.revoked_at &&
           ctx.now - *ctx.state.revoked_at >= ctx.settings.revocation_delay;
}

/// Whether the group has no primary that could acknowledge a commit or report
/// its log position. One that callers do not reach is queried once: it may have
/// stepped down for a host that has failed since.
bool is_primary_lost(const context& ctx)
{
    const auto& state = ctx.state;
    const auto limit =
        state.view.unreachable ? 1U : ctx.settings.max_primary_queries;
    return state.replaced.value.empty() ||
           state.unanswered_primary_queries >= limit;
}

/// Promotes the target at once, or first has the old primary step down. The old
/// primary leads until the promotion takes effect, and on some platforms
/// longer, so a write that a host still sends to it would be acknowledged and
/// lost.
void revoke_and_promote(context& ctx)
{
    auto& state = ctx.state;
    if (!revokes_primary(ctx) || state.primary_stepped_down ||
        state.replaced.value.empty())
        return send_promotion(ctx);
    revoke(ctx);
    request_step_down(ctx);
    if (pauses_replication(state) && is_primary_lost(ctx))
        return send_promotion(ctx);
    state.primary_position.reset();
    enter_phase(ctx, phase::revoking);
}

/// Whether the old primary has commits that the member lacks. They may have
/// been acknowledged by a replica that is not registered.
bool lacks_commits(const takeover_state& state, const core::log_position& at)
{
    return pauses_replication(state) && state.primary_position &&
           at < *state.primary_position;
}

/// Starts the comparison anew. The replicas receive again meanwhile, so that
/// they can catch up.
void compare_again(context& ctx)
{
    report_step(ctx, "replicas behind primary", ctx.state.replaced,
                "primary has " + to_string(*ctx.state.primary_position));
    resume_replicas(ctx, ctx.state.replaced);
    pause_for(ctx, ctx.settings.retry_delay);
}

/// Promotes the target unless the old primary has got ahead of it.
void send_promotion_if_complete(context& ctx)
{
    const auto& state = ctx.state;
    if (lacks_commits(state, state.reports.at(state.target).received))
        return compare_again(ctx);
    send_promotion(ctx);
}

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

void query_primary_position(context& ctx)
{
    ctx.state.primary_queried_at = ctx.now;
    ctx.out.push_back(
        ask_member{ctx.state.replaced, std::nullopt, std::nullopt, false});
}

}  // namespace

bool revokes_primary(const context& ctx)
{
    return ctx.settings.revoke_before_promotion ||
           pauses_replication(ctx.state);
}

void begin_comparison(context& ctx)
{
    auto& state = ctx.state;
    if (!pauses_replication(state) || state.primary_stepped_down ||
        state.replaced.value.empty())
        return query_members(ctx);
    state.primary_queried_at.reset();
    state.primary_position.reset();
    if (state.view.unreachable)
        state.unanswered_primary_queries = 0;
    enter_phase(ctx, phase::fencing);
    revoke(ctx);
    continue_fencing(ctx);
}

void continue_fencing(context& ctx)
{
    if (!is_revoked_everywhere(ctx))
        return;
    if (is_primary_lost(ctx))
        return query_members(ctx);
    const auto& last = ctx.state.primary_queried_at;
    if (!last || ctx.now - *last >= ctx.settings.answer_timeout)
        query_primary_position(ctx);
}

void handle_primary_position(context& ctx, const member_answered& input)
{
    auto& state = ctx.state;
    if (input.server != state.replaced || !state.primary_queried_at)
        return;
    if (!input.report)
    {
        ++state.unanswered_primary_queries;
        return continue_fencing(ctx);
    }
    state.unanswered_primary_queries = 0;
    if (input.report->role == core::member_role::primary)
        state.primary_position = input.report->received;
    else
        state.primary_stepped_down = true;
    query_members(ctx);
}

void query_new_members(context& ctx)
{
    auto& state = ctx.state;
    if (!pauses_replication(state))
        return;
    auto members = state.view.candidates;
    members.insert(members.end(), state.view.leaving_members.begin(),
                   state.view.leaving_members.end());
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
        ctx.out.push_back(primary_known{*other, true});
        return pause_for(ctx, ctx.settings.promotion_settle_time);
    }
    drop_refused(state);
    const auto best = find_target(state);
    if (!best || !enough_reports(state) ||
        state.refused_targets.count(best->server) > 0)
        return pause_for(ctx, ctx.settings.retry_delay);
    if (lacks_commits(state, best->received))
        return compare_again(ctx);
    state.target = best->server;
    report_step(ctx, "promotion ordered", state.target,
                "received " + to_string(best->received) + " token " +
                    std::to_string(state.token));
    revoke_and_promote(ctx);
}

void handle_step_down(context& ctx, const member_answered& input)
{
    auto& state = ctx.state;
    if (!state.step_down_requested_at || input.server != state.replaced ||
        !input.report)
        return;
    if (input.report->role == core::member_role::primary)
    {
        state.primary_position = input.report->received;
        if (input.report->newest_term >= state.step_down_term)
            request_step_down(ctx);
        return;
    }
    state.step_down_requested_at.reset();
    report_step(ctx, "primary stepped down", input.server);
    if (state.current_phase != phase::revoking)
        return;
    state.primary_stepped_down = true;
    state.primary_position = input.report->received;
    send_promotion_if_complete(ctx);
}

void repeat_step_down(context& ctx)
{
    const auto& last = ctx.state.step_down_requested_at;
    if (last && ctx.now - *last >= ctx.settings.step_down_interval)
        request_step_down(ctx);
}

void promote_if_revoked(context& ctx)
{
    const auto waited = ctx.now - ctx.state.phase_entered_at;
    if (waited < ctx.settings.revocation_delay)
        return;
    if (!pauses_replication(ctx.state) || is_primary_lost(ctx))
        return send_promotion(ctx);
    if (ctx.state.primary_position)
        return send_promotion_if_complete(ctx);
    if (waited < ctx.settings.answer_timeout)
        return;
    ++ctx.state.unanswered_primary_queries;
    pause_for(ctx, ctx.settings.retry_delay);
}

void handle_promotion_answer(context& ctx, const promotion_answered& input)
{
    auto& state = ctx.state;
    if (state.current_phase != phase::promoting)
        return;
    if (input.result != order_result::unknown)
        state.unanswered_order_at.reset();
    if (input.result == order_result::accepted)
    {
        report_step(ctx, "promotion accepted", state.target);
        state.primary_stepped_down = false;
        ctx.out.push_back(primary_known{state.target, true});
        return pause_for(ctx, ctx.settings.promotion_settle_time);
    }
    if (input.result == order_result::unknown &&
        state.promotion_attempts < ctx.settings.max_promotion_attempts)
        return send_promotion(ctx);
    // Refused: the member is not running, or another host holds a newer claim.
    // The claim row shows which.
    report_step(ctx, "promotion refused", state.target);
    state.refused_targets.insert(state.target);
    pause_for(ctx, ctx.settings.retry_delay);
}

}  // namespace godwitbarrow::takeover::detail
