#include <algorithm>

#include "detail.hpp"

namespace godwitbarrow::failover
{
namespace
{

using deadline = std::optional<core::time_point>;

void include(deadline& earliest, deadline due)
{
    if (due && (!earliest || *due < *earliest))
        earliest = due;
}

/// Returns the later of the two times, or nothing if the first one is absent.
deadline not_before(deadline due, core::time_point bound)
{
    return due ? deadline(std::max(*due, bound)) : due;
}

deadline suspicion_due(const group_state& state)
{
    deadline due;
    include(due, not_before(detail::silence_deadline(state), state.next_round));
    include(due, not_before(detail::contact_deadline(state), state.next_round));
    if (state.reports.size() >= suspicion_threshold)
        include(due, state.next_round);
    return due;
}

deadline store_due(const group_state& state)
{
    const auto& store = state.store;
    if (store.call != store_call::none)
        return std::nullopt;
    if (state.publication || (state.coordinator && store.stale))
        return store.retry_at;
    if (!state.coordinator)
        return std::nullopt;
    deadline due = store.review_at;
    if (detail::row_is_behind(state))
        include(due, store.refresh_at);
    return not_before(due, store.retry_at);
}

deadline steady_due(const group_state& state)
{
    deadline due = suspicion_due(state);
    include(due, store_due(state));
    if (!state.coordinator)
        return due;
    const auto* primary = detail::find_primary(state);
    if (primary != nullptr && primary->leaving)
        include(due, state.next_switchover);
    if (!state.store.stale && detail::unresolved(state) &&
        detail::knows_majority(state))
        include(due, detail::takeover_at(state));
    return due;
}

deadline fencing_due(const group_state& state)
{
    const auto& attempt = state.attempt;
    deadline due;
    for (const auto& [server, t] : attempt.retry_at)
        if (attempt.fenced.count(server) == 0)
            include(due, t);
    if (attempt.majority_at)
        include(due, *attempt.majority_at + state.limits.fence_grace);
    return due;
}

deadline promoting_due(const group_state& state)
{
    const auto& attempt = state.attempt;
    deadline due = attempt.chosen_at + state.limits.promote_timeout;
    include(due, attempt.retry_at.at(*attempt.chosen));
    return due;
}

}  // namespace

std::optional<core::time_point> next_wakeup(const group_state& state)
{
    switch (state.current_phase)
    {
        case phase::steady:
            return steady_due(state);
        case phase::confirming:
        {
            deadline due = state.round.deadline;
            include(due, store_due(state));
            return due;
        }
        case phase::claiming:
            if (state.store.call != store_call::none)
                return std::nullopt;
            return state.store.retry_at;
        case phase::fencing:
            return fencing_due(state);
        case phase::promoting:
            return promoting_due(state);
    }
    return std::nullopt;
}

}  // namespace godwitbarrow::failover
