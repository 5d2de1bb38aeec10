#include <algorithm>

#include "detail.hpp"

namespace godwitbarrow::failover::detail
{
namespace
{

bool primary_answered_since(const group_state& state, core::time_point t)
{
    const auto* primary = find_primary(state);
    return primary != nullptr && primary->status && primary->requested_at > t &&
           primary->status->role == core::member_role::primary;
}

/// Whether the reason for the claim still exists and this host is still the
/// coordinator.
bool still_needed(const group_state& state)
{
    if (!state.coordinator)
        return false;
    const auto* primary = find_primary(state);
    switch (state.attempt.reason)
    {
        case cause::unreachable:
            return !primary_answered_since(state, state.attempt.confirmed_at);
        case cause::partitioned:
            return contact_deadline(state).has_value();
        case cause::leaving:
            return primary != nullptr && primary->leaving;
        case cause::unresolved:
            return true;
    }
    return true;
}

core::term_number next_term(const group_state& state)
{
    auto term = std::max(state.store.row->row.term, state.view.term);
    for (const auto& [server, member] : state.members)
        if (member.status)
            term = std::max(term, member.status->term);
    return term + 1;
}

void write_claim(decision_context& context)
{
    auto& state = context.state;
    auto& attempt = state.attempt;
    const auto term = next_term(state);
    // A repeated claim keeps its id, so that an earlier write whose answer was
    // lost is recognised whenever it takes effect.
    if (attempt.id.value.empty() || attempt.term != term)
    {
        attempt.term = term;
        attempt.id = next_attempt(state);
    }
    write(context, store_call::claiming, {term, std::nullopt, attempt.id});
}

/// Whether the row contains the claim of this attempt.
bool holds_claim(const group_state& state)
{
    const auto& row = state.store.row->row;
    return !state.attempt.id.value.empty() && row.attempt == state.attempt.id &&
           row.term == state.attempt.term;
}

}  // namespace

core::time_point takeover_at(const group_state& state)
{
    return state.store.row_unchanged_since + state.limits.takeover_delay;
}

bool knows_majority(const group_state& state)
{
    const auto n = std::count_if(state.members.begin(), state.members.end(),
                                 [](const auto& member)
                                 { return member.second.status.has_value(); });
    return static_cast<std::size_t>(n) >= majority(state);
}

bool unresolved(const group_state& state)
{
    const auto& row = state.store.row;
    if (!row || row->row.primary)
        return false;
    if (row->version == 0)
        return !state.view.primary;
    return row->row.term > state.view.term;
}

void begin_claim(decision_context& context, cause reason)
{
    auto& state = context.state;
    state.attempt = {};
    state.attempt.reason = reason;
    state.attempt.replaced_term = state.view.term;
    state.attempt.confirmed_at = context.now;
    state.current_phase = phase::claiming;
    emit_progress(context, report_progress::step::confirmed, state.view.term,
                  "the group needs a new primary");
    continue_claim(context);
}

void continue_claim(decision_context& context)
{
    auto& state = context.state;
    auto& attempt = state.attempt;
    if (state.store.call != store_call::none)
        return;
    if (!attempt.in_doubt && !still_needed(state))
    {
        abandon(context, "the claim is no longer needed");
        return;
    }
    if (!store_ready(state, context.now))
        return;
    if (state.store.stale)
    {
        request_row(context);
        return;
    }
    if (holds_claim(state))
    {
        begin_fencing(context);
        return;
    }
    attempt.in_doubt = false;
    const auto row = state.store.row->row;
    if (row.primary && row.term > attempt.replaced_term)
    {
        update_and_publish_view(context, row.term, *row.primary);
        // If the view was known already, the update did not abandon the
        // attempt.
        if (state.current_phase == phase::claiming)
            abandon(context, "another attempt promoted " + row.primary->value);
    }
    else if (unresolved(state) && context.now < takeover_at(state))
        abandon(context, "another coordinator claimed a term");
    else if (!still_needed(state))
        abandon(context, "the claim is no longer needed");
    else
        write_claim(context);
}

}  // namespace godwitbarrow::failover::detail
