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
    takeover_state& state;
    const takeover_settings& settings;
    core::time_point now;
    actions out;
};

void enter_phase(context& ctx, phase next)
{
    ctx.state.current_phase = next;
    ctx.state.phase_entered_at = ctx.now;
}

void pause_for(context& ctx, std::chrono::milliseconds duration)
{
    ctx.state.pause_duration = duration;
    enter_phase(ctx, phase::pausing);
}

void report_step(context& ctx, std::string name, core::server_id server,
                 std::string detail = {})
{
    ctx.out.push_back(
        failover_step{std::move(name), std::move(server), std::move(detail)});
}

core::server_id suspected_primary(const takeover_state& state)
{
    return state.view.primary.value_or(core::server_id{});
}

bool takeover_wanted(const takeover_state& state)
{
    return state.view.unreachable || state.view.leaving;
}

void start_reading_rows(context& ctx)
{
    enter_phase(ctx, phase::reading);
    ctx.out.push_back(read_rows{});
}

/// Queries the primary for confirmation, except if it is leaving or unknown.
void start_takeover(context& ctx)
{
    if (!ctx.state.view.primary || ctx.state.view.leaving)
        return start_reading_rows(ctx);
    enter_phase(ctx, phase::confirming);
    ctx.out.push_back(ask_member{*ctx.state.view.primary, std::nullopt});
}

struct vote_count
{
    std::size_t hosts = 1;
    /// Total time for which these hosts have been without the primary.
    std::chrono::milliseconds downtime{0};
};

/// Counts this host and the unexpired votes of other hosts.
vote_count count_votes(const context& ctx, const rows_read& rows)
{
    vote_count out;
    out.downtime = ctx.state.view.unreachable_for;
    for (const auto& [host, v] : rows.votes)
    {
        const bool fresh =
            rows.store_time - v.renewed_at <= ctx.settings.vote_ttl;
        if (!fresh || host == ctx.settings.self ||
            v.suspect != suspected_primary(ctx.state))
            continue;
        ++out.hosts;
        out.downtime += rows.store_time - v.unreachable_since;
    }
    return out;
}

/// Returns whether half of the live hosts have lost the primary and a promotion
/// costs all hosts less downtime than waiting, or this host has suspected the
/// primary for `solo_claim_delay`.
bool may_claim(const context& ctx, const rows_read& rows)
{
    const auto votes = count_votes(ctx, rows);
    const auto live = ctx.state.view.live_hosts;
    const auto cost = ctx.settings.promotion_cost *
                      static_cast<std::chrono::milliseconds::rep>(live);
    if (2 * votes.hosts >= live && votes.downtime >= cost)
        return true;
    return ctx.state.suspected_since && ctx.now - *ctx.state.suspected_since >=
                                            ctx.settings.solo_claim_delay;
}

void cast_vote(context& ctx, const rows_read& rows)
{
    const auto own = rows.votes.find(ctx.settings.self);
    const bool renewed = own != rows.votes.end() &&
                         own->second.suspect == suspected_primary(ctx.state) &&
                         rows.store_time - own->second.renewed_at <
                             ctx.settings.vote_renewal_interval;
    if (renewed)
        return pause_for(ctx, ctx.settings.retry_delay);
    enter_phase(ctx, phase::voting);
    ctx.out.push_back(write_vote{
        {suspected_primary(ctx.state),
         rows.store_time - ctx.state.view.unreachable_for, rows.store_time}});
}

void query_members(context& ctx)
{
    auto& state = ctx.state;
    enter_phase(ctx, phase::querying);
    state.queried.clear();
    state.reports.clear();
    const bool pause_replication = state.view.synchronous_replicas > 0;
    for (const auto& id : state.view.candidates)
        state.queried.insert(id);
    if (pause_replication)
        state.queried.insert(state.view.leaving_members.begin(),
                             state.view.leaving_members.end());
    for (const auto& id : state.queried)
    {
        ask_member query{id, std::nullopt};
        if (pause_replication)
            query.pause_replication_at = state.newest_term + 1;
        ctx.out.push_back(std::move(query));
    }
    if (state.queried.empty())
        pause_for(ctx, ctx.settings.retry_delay);
}

void handle_rows(context& ctx, const rows_read& rows)
{
    auto& state = ctx.state;
    if (state.current_phase != phase::reading)
        return;
    auto next = rows.last_claim.value_or(claim{});
    const bool recent = next.token > 0 && rows.store_time - next.claimed_at <
                                              ctx.settings.claim_ttl;
    if (recent && next.holder == ctx.settings.self && state.token == next.token)
        return query_members(ctx);
    if (recent && next.holder != ctx.settings.self)
        return pause_for(ctx, ctx.settings.retry_delay);
    if (!state.view.leaving && !may_claim(ctx, rows))
        return cast_vote(ctx, rows);
    next.holder = ctx.settings.self;
    next.replaced = suspected_primary(state);
    next.claimed_at = rows.store_time;
    state.token = ++next.token;
    state.refused_targets.clear();
    state.promotion_attempts = 0;
    enter_phase(ctx, phase::claiming);
    ctx.out.push_back(write_claim{std::move(next), rows.version});
}

void handle_write_result(context& ctx, const row_written& input)
{
    auto& state = ctx.state;
    if (state.current_phase == phase::voting)
        return pause_for(ctx, ctx.settings.retry_delay);
    if (state.current_phase != phase::claiming)
        return;
    // If the answer was lost, the claim may have been stored; the next read
    // shows it.
    if (input.result != write_result::done)
        return pause_for(ctx, ctx.settings.retry_delay);
    state.claimed_at = ctx.now;
    report_step(ctx, "takeover claimed", suspected_primary(state),
                "token " + std::to_string(state.token));
    query_members(ctx);
}

void send_promotion(context& ctx)
{
    enter_phase(ctx, phase::promoting);
    ++ctx.state.promotion_attempts;
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

void choose_target(context& ctx)
{
    auto& state = ctx.state;
    const core::server_id* best = nullptr;
    core::log_position received;
    for (const auto& [id, report] : state.reports)
    {
        if (report.role == core::member_role::primary &&
            id != suspected_primary(state))
        {
            report_step(ctx, "primary found", id, "member is already primary");
            ctx.out.push_back(primary_known{id, true});
            return pause_for(ctx, ctx.settings.promotion_settle_time);
        }
        const bool leaving =
            std::count(state.view.leaving_members.begin(),
                       state.view.leaving_members.end(), id) > 0;
        if (leaving || state.refused_targets.count(id) > 0)
            continue;
        if (best && !(received < report.received))
            continue;
        best = &id;
        received = report.received;
    }
    if (!best || !enough_reports(state))
        return pause_for(ctx, ctx.settings.retry_delay);
    state.target = *best;
    report_step(ctx, "promotion ordered", state.target,
                "received " + std::to_string(received.term) + "." +
                    std::to_string(received.position) + " token " +
                    std::to_string(state.token));
    send_promotion(ctx);
}

void handle_member_answer(context& ctx, const member_answered& input)
{
    auto& state = ctx.state;
    if (input.report)
        state.newest_term =
            std::max(state.newest_term, input.report->newest_term);
    if (state.current_phase == phase::confirming &&
        input.server == suspected_primary(state))
    {
        const bool is_primary =
            input.report && input.report->role == core::member_role::primary;
        if (!is_primary)
            return start_reading_rows(ctx);
        ctx.out.push_back(primary_known{input.server, false});
        return enter_phase(ctx, phase::idle);
    }
    if (state.current_phase != phase::querying ||
        state.queried.count(input.server) == 0)
        return;
    if (input.report)
        state.reports[input.server] = *input.report;
    else
        state.queried.erase(input.server);
    if (state.reports.size() >= state.queried.size())
        choose_target(ctx);
}

void handle_promotion_answer(context& ctx, const promotion_answered& input)
{
    auto& state = ctx.state;
    if (state.current_phase != phase::promoting)
        return;
    if (input.result == order_result::accepted)
    {
        report_step(ctx, "promotion accepted", state.target);
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

void resume_after_pause(context& ctx)
{
    if (!takeover_wanted(ctx.state))
        return enter_phase(ctx, phase::idle);
    start_takeover(ctx);
}

void check_timers(context& ctx)
{
    auto& state = ctx.state;
    const auto waited = ctx.now - state.phase_entered_at;
    switch (state.current_phase)
    {
        case phase::idle:
            if (takeover_wanted(state))
                start_takeover(ctx);
            return;
        case phase::pausing:
            if (waited >= state.pause_duration)
                resume_after_pause(ctx);
            return;
        case phase::confirming:
            if (waited >= ctx.settings.answer_timeout)
                start_reading_rows(ctx);
            return;
        case phase::querying:
            if (waited >= ctx.settings.answer_timeout)
                choose_target(ctx);
            return;
        default:
            return;
    }
}

void handle_view(context& ctx, const group_view_updated& input)
{
    auto& state = ctx.state;
    state.view = input.view;
    if (!state.view.unreachable)
        state.suspected_since.reset();
    else if (!state.suspected_since)
        state.suspected_since = ctx.now;
    check_timers(ctx);
}

struct visitor
{
    context& ctx;

    void operator()(const group_view_updated& input) const
    {
        handle_view(ctx, input);
    }
    void operator()(const rows_read& input) const
    {
        handle_rows(ctx, input);
    }
    void operator()(const row_written& input) const
    {
        handle_write_result(ctx, input);
    }
    void operator()(const store_failed&) const
    {
        const auto current = ctx.state.current_phase;
        if (current == phase::reading || current == phase::voting ||
            current == phase::claiming)
            pause_for(ctx, ctx.settings.retry_delay);
    }
    void operator()(const member_answered& input) const
    {
        handle_member_answer(ctx, input);
    }
    void operator()(const promotion_answered& input) const
    {
        handle_promotion_answer(ctx, input);
    }
    void operator()(const time_passed&) const
    {
        check_timers(ctx);
    }
};

}  // namespace
}  // namespace detail

actions decide(takeover_state& state, const takeover_settings& settings,
               const event& input, core::time_point now)
{
    detail::context ctx{state, settings, now, {}};
    std::visit(detail::visitor{ctx}, input);
    return std::move(ctx.out);
}

bool is_active(const takeover_state& state)
{
    return state.current_phase != phase::idle;
}

}  // namespace godwitbarrow::takeover
