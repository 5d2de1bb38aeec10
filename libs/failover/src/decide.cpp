#include "godwitbarrow/failover/decide.hpp"

#include <variant>

#include "detail.hpp"

namespace godwitbarrow::failover
{
namespace
{

using detail::step;

void apply(step& at, const status_received& it)
{
    detail::record_status(at, it);
}

void apply(step& at, const status_requested& it)
{
    const auto found = at.state.members.find(it.server);
    if (found != at.state.members.end())
        found->second.poll_wait = it.wait;
}

void apply(step& at, const status_missed& it)
{
    const auto found = at.state.members.find(it.server);
    if (found != at.state.members.end())
        found->second.missed = true;
}

void apply(step& at, const suspicion_reported& it)
{
    detail::record_report(at, it);
}

void apply(step& at, const observation_received& it)
{
    detail::record_observation(at, it);
}

void apply(step& at, const row_read& it)
{
    detail::record_row(at, it);
}

void apply(step& at, const row_written& it)
{
    detail::record_write(at, it);
}

void apply(step& at, const fence_answered& it)
{
    detail::record_fence(at, it);
}

void apply(step& at, const promote_answered& it)
{
    detail::record_promotion(at, it);
}

void apply(step& at, const view_learned& it)
{
    if (it.primary)
        detail::learn_view(at, it.term, *it.primary);
}

void apply(step& at, const server_leaving& it)
{
    const auto found = at.state.members.find(it.server);
    if (found != at.state.members.end())
        found->second.leaving = it.leaving;
}

void apply(step& at, const role_changed& it)
{
    auto& state = at.state;
    state.observers = it.observers;
    if (it.coordinator && !state.coordinator)
    {
        state.watching_since = at.now;
        state.next_round = at.now;
        state.store.stale = true;
    }
    // A claim under way is finished, so that the row does not stay without a
    // primary.
    if (!it.coordinator && state.current_phase == phase::confirming)
        detail::abandon(at, "another host coordinates the group");
    state.coordinator = it.coordinator;
}

void apply(step&, const tick&) {}

void continue_phase(step& at)
{
    switch (at.state.current_phase)
    {
        case phase::steady:
            if (at.state.coordinator)
                detail::review_group(at);
            else
                detail::report_suspicion(at);
            break;
        case phase::confirming:
            detail::evaluate_round(at);
            break;
        case phase::claiming:
            detail::continue_claim(at);
            break;
        case phase::fencing:
            detail::continue_fencing(at);
            break;
        case phase::promoting:
            detail::continue_promotion(at);
            break;
    }
}

}  // namespace

std::vector<action> decide(group_state& state, const event& it,
                           core::time_point now)
{
    std::vector<action> out;
    step at{state, now, out};
    std::visit([&](const auto& what) { apply(at, what); }, it);
    detail::forget_old_reports(at);
    const auto before = state.current_phase;
    continue_phase(at);
    // What became due during the attempt is looked at when it ends.
    if (before != phase::steady && state.current_phase == phase::steady)
        continue_phase(at);
    detail::keep_row(at);
    return out;
}

}  // namespace godwitbarrow::failover
