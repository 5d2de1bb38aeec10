#include <algorithm>

#include "detail.hpp"

namespace godwitbarrow::failover::detail
{
namespace
{

std::size_t count_members_in_term(const group_state& state,
                                  core::term_number term)
{
    return static_cast<std::size_t>(std::count_if(
        state.members.begin(), state.members.end(),
        [&](const auto& member) {
            return member.second.status && member.second.status->term >= term;
        }));
}

/// Restarts the takeover delay if the attempt that claimed the row progressed.
void record_row_progress(decision_context& context)
{
    auto& store = context.state.store;
    const auto n = count_members_in_term(context.state, store.row->row.term);
    if (store.row->version == 0 || n <= store.members_in_term)
        return;
    store.members_in_term = n;
    store.row_unchanged_since = context.now;
}

bool primary_leads(const group_state& state)
{
    const auto* primary = find_primary(state);
    return primary != nullptr && primary->status &&
           primary->status->term == state.view.term &&
           primary->status->role == core::member_role::primary;
}

/// Whether the primary, polled after its promotion became known, reports the
/// replica role.
bool primary_reports_replica(const group_state& state)
{
    const auto* primary = find_primary(state);
    return primary != nullptr && primary->status &&
           primary->requested_at > state.view.since &&
           primary->status->term == state.view.term &&
           primary->status->role == core::member_role::replica;
}

/// Creates a missing row from the statuses of a majority of the members.
void create_row(decision_context& context)
{
    auto& state = context.state;
    if (!knows_majority(state) || !primary_leads(state) ||
        !store_ready(state, context.now))
        return;
    write(context, store_call::creating,
          {state.view.term, state.view.primary, next_attempt(state)});
}

void compare_with_row(decision_context& context)
{
    auto& state = context.state;
    const auto row = state.store.row->row;
    if (state.store.row->version == 0)
        create_row(context);
    else if (row.primary)
        update_and_publish_view(context, row.term, *row.primary);
    else if (row.term == state.view.term && state.view.primary)
        state.publication =
            group_row{row.term, state.view.primary, row.attempt};
}

bool can_replace(const group_state& state, core::time_point now)
{
    return std::any_of(state.members.begin(), state.members.end(),
                       [&](const auto& entry)
                       {
                           const auto& [server, member] = entry;
                           return server != state.view.primary &&
                                  !member.leaving && member.status &&
                                  member.status->log_term == state.view.term &&
                                  member.status->primary_contact &&
                                  now < member.received_at +
                                            state.limits.status_validity;
                       });
}

bool switchover_due(decision_context& context)
{
    auto& state = context.state;
    const auto* primary = find_primary(state);
    if (primary == nullptr || !primary->leaving ||
        context.now < state.next_switchover)
        return false;
    const bool possible = can_replace(state, context.now);
    state.next_switchover =
        context.now + (possible ? state.limits.switchover_retry_interval
                                : state.limits.round_backoff);
    return possible;
}

bool takeover_due(decision_context& context)
{
    const auto& state = context.state;
    if (state.store.stale || !unresolved(state))
        return false;
    return knows_majority(state) && context.now >= takeover_at(state);
}

}  // namespace

void review_group(decision_context& context)
{
    auto& state = context.state;
    if (!state.store.stale && state.store.row)
    {
        record_row_progress(context);
        compare_with_row(context);
    }
    const bool primary_is_replica =
        primary_reports_replica(state) && context.now >= state.next_round;
    if (takeover_due(context) || primary_is_replica)
        begin_claim(context, cause::unresolved);
    else if (switchover_due(context))
        begin_claim(context, cause::leaving);
    else if (context.now >= state.next_round &&
             suspects_primary(state, context.now))
        begin_round(context);
}

}  // namespace godwitbarrow::failover::detail
