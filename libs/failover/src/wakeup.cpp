#include <algorithm>

#include "detail.hpp"

namespace godwitbarrow::failover
{
namespace
{

using deadline = std::optional<core::time_point>;

void include(deadline& earliest, deadline it)
{
    if (it && (!earliest || *it < *earliest))
        earliest = it;
}

/// The later of the two; absent if the first is absent.
deadline not_before(deadline it, core::time_point bound)
{
    return it ? deadline(std::max(*it, bound)) : it;
}

deadline suspicion_due(const group_state& state)
{
    deadline it;
    include(it, not_before(detail::silence_deadline(state), state.next_round));
    include(it, not_before(detail::contact_deadline(state), state.next_round));
    if (state.reports.size() >= reports_needed)
        include(it, state.next_round);
    return it;
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
    deadline it = store.review_at;
    if (detail::row_is_behind(state))
        include(it, store.refresh_at);
    return not_before(it, store.retry_at);
}

deadline steady_due(const group_state& state)
{
    deadline it = suspicion_due(state);
    include(it, store_due(state));
    if (!state.coordinator)
        return it;
    const auto* primary = detail::find_primary(state);
    if (primary != nullptr && primary->leaving)
        include(it, state.next_ordered);
    if (!state.store.stale && detail::unresolved(state) &&
        detail::knows_majority(state))
        include(it, detail::takeover_at(state));
    return it;
}

deadline fencing_due(const group_state& state)
{
    const auto& attempt = state.attempt;
    deadline it;
    for (const auto& [server, t] : attempt.retry_at)
        if (attempt.fenced.count(server) == 0)
            include(it, t);
    if (attempt.majority_at)
        include(it, *attempt.majority_at + state.limits.fence_grace);
    return it;
}

deadline promoting_due(const group_state& state)
{
    const auto& attempt = state.attempt;
    deadline it = attempt.chosen_at + state.limits.promote_timeout;
    include(it, attempt.retry_at.at(*attempt.chosen));
    return it;
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
            deadline it = state.round.deadline;
            include(it, store_due(state));
            return it;
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
