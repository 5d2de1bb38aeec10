#include <algorithm>

#include "detail.hpp"

namespace godwitbarrow::failover::detail
{
namespace
{

std::size_t members_at(const group_state& state, core::term_number term)
{
    return static_cast<std::size_t>(std::count_if(
        state.members.begin(), state.members.end(),
        [&](const auto& it)
        { return it.second.status && it.second.status->term >= term; }));
}

/// Restarts the takeover delay when the attempt behind the row progressed.
void record_row_progress(step& at)
{
    auto& store = at.state.store;
    const auto n = members_at(at.state, store.row->row.term);
    if (store.row->version == 0 || n <= store.members_in_term)
        return;
    store.members_in_term = n;
    store.row_since = at.now;
}

bool primary_leads(const group_state& state)
{
    const auto* primary = find_primary(state);
    return primary != nullptr && primary->status &&
           primary->status->term == state.view.term &&
           primary->status->role == core::member_role::primary;
}

/// The primary was asked after its promotion was known, and denies it.
bool primary_denies(const group_state& state)
{
    const auto* primary = find_primary(state);
    return primary != nullptr && primary->status &&
           primary->requested_at > state.view.since &&
           primary->status->term == state.view.term &&
           primary->status->role == core::member_role::replica;
}

/// Creates an absent row from what a majority of the members report.
void create_row(step& at)
{
    auto& state = at.state;
    if (!knows_majority(state) || !primary_leads(state) ||
        !store_ready(state, at.now))
        return;
    write(at, store_call::creating,
          {state.view.term, state.view.primary, next_attempt(state)});
}

void compare_with_row(step& at)
{
    auto& state = at.state;
    const auto row = state.store.row->row;
    if (state.store.row->version == 0)
        create_row(at);
    else if (row.primary)
        adopt_view(at, row.term, *row.primary);
    else if (row.term == state.view.term && state.view.primary)
        state.publication =
            group_row{row.term, state.view.primary, row.attempt};
}

bool can_replace(const group_state& state, core::time_point now)
{
    return std::any_of(state.members.begin(), state.members.end(),
                       [&](const auto& it)
                       {
                           const auto& [server, member] = it;
                           return server != state.view.primary &&
                                  !member.leaving && member.status &&
                                  member.status->log_term == state.view.term &&
                                  member.status->primary_contact &&
                                  now < member.received_at +
                                            state.limits.status_validity;
                       });
}

bool ordered_promotion_due(step& at)
{
    auto& state = at.state;
    const auto* primary = find_primary(state);
    if (primary == nullptr || !primary->leaving || at.now < state.next_ordered)
        return false;
    const bool possible = can_replace(state, at.now);
    state.next_ordered = at.now + (possible ? state.limits.leaving_retry
                                            : state.limits.round_pause);
    return possible;
}

bool takeover_due(step& at)
{
    const auto& state = at.state;
    if (state.store.stale || !unresolved(state))
        return false;
    return knows_majority(state) && at.now >= takeover_at(state);
}

}  // namespace

void review_group(step& at)
{
    auto& state = at.state;
    if (!state.store.stale && state.store.row)
    {
        record_row_progress(at);
        compare_with_row(at);
    }
    const bool denied = primary_denies(state) && at.now >= state.next_round;
    if (takeover_due(at) || denied)
        begin_claim(at, cause::unresolved);
    else if (ordered_promotion_due(at))
        begin_claim(at, cause::leaving);
    else if (at.now >= state.next_round && suspects_primary(state, at.now))
        begin_round(at);
}

}  // namespace godwitbarrow::failover::detail
