#include <algorithm>

#include "detail.hpp"

namespace godwitbarrow::failover::detail
{
namespace
{

bool refused(const core::error& it)
{
    return it.kind == core::error_kind::fenced ||
           it.kind == core::error_kind::conflict;
}

/// Gives up an attempt that a member refused, and reads who was faster.
void yield_to_newer_term(step& at)
{
    at.state.store.stale = true;
    abandon(at, "a member refused the term");
}

void send_fence(step& at, const core::server_id& server)
{
    auto& attempt = at.state.attempt;
    attempt.retry_at[server] = at.now + at.state.limits.member_retry;
    at.out.push_back(fence_member{server, attempt.term, attempt.id});
}

void send_promote(step& at)
{
    auto& attempt = at.state.attempt;
    attempt.retry_at[*attempt.chosen] = at.now + at.state.limits.member_retry;
    at.out.push_back(promote_member{*attempt.chosen, attempt.term, attempt.id});
}

/// Whether a member that has not answered could improve the choice.
bool worth_waiting_for(const group_state& state, const core::server_id& server)
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
                        [&](const auto& it)
                        { return worth_waiting_for(state, it.first); });
}

void choose(step& at)
{
    auto& state = at.state;
    state.attempt.chosen = choose_primary(state);
    state.attempt.chosen_at = at.now;
    state.current_phase = phase::promoting;
    note(at, report_progress::step::chosen, state.attempt.term,
         state.attempt.chosen->value);
    send_promote(at);
}

/// A host that is no coordinator any more finishes, but does not persist.
bool left_to_others(step& at, core::time_point since)
{
    if (at.state.coordinator ||
        at.now < since + at.state.limits.promote_timeout)
        return false;
    abandon(at, "another host coordinates the group");
    return true;
}

}  // namespace

void begin_fencing(step& at)
{
    auto& state = at.state;
    state.current_phase = phase::fencing;
    state.attempt.in_doubt = false;
    state.attempt.confirmed_at = at.now;
    state.publication.reset();
    note(at, report_progress::step::claimed, state.attempt.term, "");
    for (const auto& [server, member] : state.members)
        send_fence(at, server);
}

void record_fence(step& at, const fence_answered& it)
{
    auto& state = at.state;
    if (state.current_phase != phase::fencing ||
        state.members.count(it.server) == 0)
        return;
    const auto* status = std::get_if<core::member_status>(&it.status);
    if (status == nullptr)
    {
        if (refused(std::get<core::error>(it.status)))
            yield_to_newer_term(at);
        return;
    }
    if (status->term > state.attempt.term)
    {
        yield_to_newer_term(at);
        return;
    }
    // A lower term is the late answer to an earlier attempt.
    if (status->term < state.attempt.term)
        return;
    state.attempt.fenced[it.server] = *status;
    if (state.attempt.majority_at ||
        state.attempt.fenced.size() < majority(state))
        return;
    state.attempt.majority_at = at.now;
    note(at, report_progress::step::fenced, state.attempt.term, "");
}

void continue_fencing(step& at)
{
    auto& state = at.state;
    if (ready_to_choose(state, at.now))
    {
        choose(at);
        return;
    }
    if (left_to_others(at, state.attempt.confirmed_at))
        return;
    for (const auto& [server, member] : state.members)
        if (state.attempt.fenced.count(server) == 0 &&
            at.now >= state.attempt.retry_at[server])
            send_fence(at, server);
}

void record_promotion(step& at, const promote_answered& it)
{
    auto& state = at.state;
    if (state.current_phase != phase::promoting ||
        state.attempt.chosen != it.server)
        return;
    if (const auto* status = std::get_if<core::member_status>(&it.status))
    {
        if (status->term == state.attempt.term &&
            status->role == core::member_role::primary)
            finish_promotion(at);
        else if (status->term > state.attempt.term)
            yield_to_newer_term(at);
        return;
    }
    if (refused(std::get<core::error>(it.status)))
        yield_to_newer_term(at);
}

void finish_promotion(step& at)
{
    auto& state = at.state;
    const auto attempt = state.attempt;
    state.current_phase = phase::steady;
    state.attempt = {};
    note(at, report_progress::step::promoted, attempt.term,
         attempt.chosen->value);
    state.publication = group_row{attempt.term, attempt.chosen, attempt.id};
    adopt_view(at, attempt.term, *attempt.chosen);
    for (const auto& [server, member] : state.members)
        if (server != *attempt.chosen)
            tell_to_follow(at, server);
}

void continue_promotion(step& at)
{
    auto& state = at.state;
    const auto& attempt = state.attempt;
    if (left_to_others(at, attempt.chosen_at))
        return;
    // The promotion may have taken effect, so no other member may be promoted
    // in this term. The next term fences the chosen member or does without it.
    if (at.now >= attempt.chosen_at + state.limits.promote_timeout)
        begin_claim(at, cause::unresolved);
    else if (at.now >= attempt.retry_at.at(*attempt.chosen))
        send_promote(at);
}

}  // namespace godwitbarrow::failover::detail
