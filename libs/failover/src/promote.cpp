#include <algorithm>

#include "detail.hpp"

namespace godwitbarrow::failover::detail
{
namespace
{

bool is_refusal(const core::error& error)
{
    return error.kind == core::error_kind::fenced ||
           error.kind == core::error_kind::conflict;
}

/// Abandons an attempt that a member rejected, and has the row read again to
/// find the newer attempt.
void abandon_superseded_attempt(decision_context& context)
{
    context.state.store.stale = true;
    abandon(context, "a member rejected the term");
}

void send_fence(decision_context& context, const core::server_id& server)
{
    auto& attempt = context.state.attempt;
    attempt.retry_at[server] =
        context.now + context.state.limits.member_retry_interval;
    context.out.push_back(fence_member{server, attempt.term, attempt.id});
}

void send_promote(decision_context& context)
{
    auto& attempt = context.state.attempt;
    attempt.retry_at[*attempt.chosen] =
        context.now + context.state.limits.member_retry_interval;
    context.out.push_back(
        promote_member{*attempt.chosen, attempt.term, attempt.id});
}

/// Whether the response of a member that has not answered could improve the
/// choice of the primary.
bool may_improve_choice(const group_state& state, const core::server_id& server)
{
    if (state.attempt.fenced.count(server) != 0)
        return false;
    if (server != state.view.primary)
        return true;
    return state.attempt.reason == cause::leaving ||
           state.attempt.reason == cause::unresolved;
}

bool ready_to_choose(const group_state& state, core::time_point now)
{
    const auto& attempt = state.attempt;
    if (!attempt.majority_at)
        return false;
    if (now >= *attempt.majority_at + state.limits.fence_grace)
        return true;
    return std::none_of(state.members.begin(), state.members.end(),
                        [&](const auto& member)
                        { return may_improve_choice(state, member.first); });
}

void choose(decision_context& context)
{
    auto& state = context.state;
    state.attempt.chosen = choose_primary(state);
    state.attempt.chosen_at = context.now;
    state.current_phase = phase::promoting;
    emit_progress(context, report_progress::step::chosen, state.attempt.term,
                  state.attempt.chosen->value);
    send_promote(context);
}

/// A host that is no longer the coordinator continues its attempt, but abandons
/// it once `promote_timeout` has passed. Returns whether it was abandoned.
bool abandon_if_not_coordinator(decision_context& context,
                                core::time_point since)
{
    if (context.state.coordinator ||
        context.now < since + context.state.limits.promote_timeout)
        return false;
    abandon(context, "another host is the coordinator of the group");
    return true;
}

}  // namespace

void begin_fencing(decision_context& context)
{
    auto& state = context.state;
    state.current_phase = phase::fencing;
    state.attempt.in_doubt = false;
    state.attempt.confirmed_at = context.now;
    state.publication.reset();
    emit_progress(context, report_progress::step::claimed, state.attempt.term,
                  "");
    for (const auto& [server, member] : state.members)
        send_fence(context, server);
}

void record_fence(decision_context& context, const fence_answered& answer)
{
    auto& state = context.state;
    if (state.current_phase != phase::fencing ||
        state.members.count(answer.server) == 0)
        return;
    const auto* status = std::get_if<core::member_status>(&answer.status);
    if (status == nullptr)
    {
        if (is_refusal(std::get<core::error>(answer.status)))
            abandon_superseded_attempt(context);
        return;
    }
    if (status->term > state.attempt.term)
    {
        abandon_superseded_attempt(context);
        return;
    }
    // A lower term means a late answer to an earlier attempt.
    if (status->term < state.attempt.term)
        return;
    state.attempt.fenced[answer.server] = *status;
    if (state.attempt.majority_at ||
        state.attempt.fenced.size() < majority(state))
        return;
    state.attempt.majority_at = context.now;
    emit_progress(context, report_progress::step::fenced, state.attempt.term,
                  "");
}

void continue_fencing(decision_context& context)
{
    auto& state = context.state;
    if (ready_to_choose(state, context.now))
    {
        choose(context);
        return;
    }
    if (abandon_if_not_coordinator(context, state.attempt.confirmed_at))
        return;
    for (const auto& [server, member] : state.members)
        if (state.attempt.fenced.count(server) == 0 &&
            context.now >= state.attempt.retry_at[server])
            send_fence(context, server);
}

void record_promotion(decision_context& context, const promote_answered& answer)
{
    auto& state = context.state;
    if (state.current_phase != phase::promoting ||
        state.attempt.chosen != answer.server)
        return;
    if (const auto* status = std::get_if<core::member_status>(&answer.status))
    {
        if (status->term == state.attempt.term &&
            status->role == core::member_role::primary)
            finish_promotion(context);
        else if (status->term > state.attempt.term)
            abandon_superseded_attempt(context);
        return;
    }
    if (is_refusal(std::get<core::error>(answer.status)))
        abandon_superseded_attempt(context);
}

void finish_promotion(decision_context& context)
{
    auto& state = context.state;
    const auto attempt = state.attempt;
    state.current_phase = phase::steady;
    state.attempt = {};
    emit_progress(context, report_progress::step::promoted, attempt.term,
                  attempt.chosen->value);
    state.publication = group_row{attempt.term, attempt.chosen, attempt.id};
    update_and_publish_view(context, attempt.term, *attempt.chosen);
    for (const auto& [server, member] : state.members)
        if (server != *attempt.chosen)
            send_follow(context, server);
}

void continue_promotion(decision_context& context)
{
    auto& state = context.state;
    const auto& attempt = state.attempt;
    if (abandon_if_not_coordinator(context, attempt.chosen_at))
        return;
    // The promotion may have taken effect, so no other member may be promoted
    // in this term. The next term fences the chosen member or proceeds without
    // it.
    if (context.now >= attempt.chosen_at + state.limits.promote_timeout)
        begin_claim(context, cause::unresolved);
    else if (context.now >= attempt.retry_at.at(*attempt.chosen))
        send_promote(context);
}

}  // namespace godwitbarrow::failover::detail
