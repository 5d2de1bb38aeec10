#include "godwitbarrow/takeover/decide.hpp"

#include <algorithm>

#include "claiming.hpp"
#include "comparing.hpp"
#include "context.hpp"
#include "fencing.hpp"
#include "promoting.hpp"
#include "restoring.hpp"
#include "resuming.hpp"
#include "settling.hpp"

namespace godwitbarrow::takeover
{
namespace detail
{

void enter_phase(context& ctx, phase next)
{
    ctx.state.current_phase = next;
    ctx.state.phase_entered_at = ctx.now;
}

void pause_for(context& ctx, std::chrono::milliseconds duration)
{
    ctx.state.pause_duration = duration;
    ctx.state.kept.reset();
    enter_phase(ctx, phase::pausing);
}

void report_step(context& ctx, std::string name, core::server_id server,
                 std::string detail)
{
    ctx.out.push_back(
        failover_step{std::move(name), std::move(server), std::move(detail)});
}

core::server_id suspected_primary(const takeover_state& state)
{
    return state.view.primary.value_or(core::server_id{});
}

core::term_number next_term(const takeover_state& state)
{
    return std::max(state.newest_term, state.view.newest_term) + 1;
}

bool pauses_replication(const takeover_state& state)
{
    return state.view.synchronous_replicas > 0;
}

bool is_leaving(const takeover_state& state, const core::server_id& id)
{
    const auto& all = state.view.leaving_members;
    return std::find(all.begin(), all.end(), id) != all.end();
}

bool is_registered(const takeover_state& state, const core::server_id& id)
{
    const auto& candidates = state.view.candidates;
    return state.view.primary == id || is_leaving(state, id) ||
           std::find(candidates.begin(), candidates.end(), id) !=
               candidates.end();
}

namespace
{

bool takeover_wanted(const takeover_state& state)
{
    return state.view.unreachable || state.view.leaving ||
           state.primary_stepped_down;
}

/// Whether replicas may be paused that this host has to resume.
bool ends_pauses(const context& ctx)
{
    return !ctx.state.paused.empty() || may_end_pauses(ctx);
}

void query_primary(context& ctx)
{
    enter_phase(ctx, phase::confirming);
    ctx.out.push_back(
        ask_member{*ctx.state.view.primary, std::nullopt, std::nullopt, false});
}

/// Queries the primary for confirmation, except if it is leaving or unknown.
void start_takeover(context& ctx)
{
    if (!ctx.state.view.primary || ctx.state.view.leaving)
        return start_reading_rows(ctx);
    query_primary(ctx);
}

/// Starts a takeover if one is wanted. Otherwise replicas that are still paused
/// are resumed once the primary has confirmed its role.
void start_if_needed(context& ctx)
{
    if (takeover_wanted(ctx.state))
        return start_takeover(ctx);
    if (ends_pauses(ctx) && ctx.state.view.primary)
        return query_primary(ctx);
    enter_phase(ctx, phase::idle);
}

/// The primary did not confirm its role. Hosts use none while the last claim is
/// not settled, so that only this question shows that it has failed.
void give_up_confirmation(context& ctx)
{
    if (takeover_wanted(ctx.state))
        return start_reading_rows(ctx);
    if (!ctx.state.unconfirmed_since)
        ctx.state.unconfirmed_since = ctx.state.phase_entered_at;
    pause_for(ctx, ctx.settings.promotion_settle_time);
}

/// Adds to the view what the primary has not confirmed.
void note_unconfirmed(context& ctx,
                      const std::optional<core::server_id>& before)
{
    auto& state = ctx.state;
    if (state.view.primary != before)
        state.unconfirmed_since.reset();
    if (!state.unconfirmed_since)
        return;
    state.view.unreachable = true;
    state.view.unreachable_for =
        std::max(state.view.unreachable_for,
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                     ctx.now - *state.unconfirmed_since));
}

void handle_confirmation(context& ctx, const member_answered& input)
{
    if (input.server != suspected_primary(ctx.state))
        return;
    const bool is_primary =
        input.report && input.report->role == core::member_role::primary;
    if (!is_primary)
    {
        // A replica that leads no more, and has no successor that this host
        // knows of.
        if (input.report && ends_pauses(ctx))
            ctx.state.primary_stepped_down = true;
        return give_up_confirmation(ctx);
    }
    ctx.state.unconfirmed_since.reset();
    ctx.state.primary_stepped_down = false;
    ctx.out.push_back(primary_known{input.server, false});
    if (ends_pauses(ctx))
        return keep_primary(ctx, input.server);
    enter_phase(ctx, phase::idle);
}

void handle_member_answer(context& ctx, const member_answered& input)
{
    auto& state = ctx.state;
    if (input.report)
    {
        state.newest_term =
            std::max(state.newest_term, input.report->newest_term);
        state.newest_log_term =
            std::max(state.newest_log_term, input.report->received.term);
    }
    handle_step_down(ctx, input);
    handle_resumed(ctx, input);
    if (state.current_phase == phase::confirming)
        return handle_confirmation(ctx, input);
    if (state.current_phase == phase::fencing)
        return handle_primary_position(ctx, input);
    if (state.current_phase == phase::querying)
        handle_report(ctx, input);
}

void check_timers(context& ctx)
{
    auto& state = ctx.state;
    const auto waited = ctx.now - state.phase_entered_at;
    repeat_step_down(ctx);
    switch (state.current_phase)
    {
        case phase::idle:
            return start_if_needed(ctx);
        case phase::pausing:
            if (waited < state.pause_duration)
                return;
            state.step_down_requested_at.reset();
            return start_if_needed(ctx);
        case phase::confirming:
            if (waited >= ctx.settings.answer_timeout)
                give_up_confirmation(ctx);
            return;
        case phase::fencing:
            return continue_fencing(ctx);
        case phase::querying:
            if (waited >= ctx.settings.answer_timeout)
                choose_target(ctx);
            return;
        case phase::revoking:
            return promote_if_revoked(ctx);
        case phase::keeping:
            return continue_keeping(ctx);
        default:
            return;
    }
}

void handle_view(context& ctx, const group_view_updated& input)
{
    auto& state = ctx.state;
    const auto before = state.view.primary;
    state.view = input.view;
    note_unconfirmed(ctx, before);
    note_era(ctx, input.view.store_era);
    if (!state.view.unreachable)
        state.suspected_since.reset();
    else if (!state.suspected_since)
        state.suspected_since = ctx.now;
    if (state.current_phase == phase::querying)
        query_new_members(ctx);
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
        note_era(ctx, input.era);
        handle_rows(ctx, input);
    }
    void operator()(const row_written& input) const
    {
        note_era(ctx, input.era);
        handle_write_result(ctx, input);
    }
    void operator()(const claim_observed& input) const
    {
        note_era(ctx, input.era);
        handle_observed_claim(ctx, input);
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
