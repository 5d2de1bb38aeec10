#include "godwitbarrow/failover/decide.hpp"

#include <variant>

#include "detail.hpp"

namespace godwitbarrow::failover
{
namespace
{

using detail::decision_context;

void apply(decision_context& context, const status_received& update)
{
    detail::record_status(context, update);
}

void apply(decision_context& context, const status_requested& poll)
{
    const auto found = context.state.members.find(poll.server);
    if (found != context.state.members.end())
        found->second.poll_wait = poll.wait;
}

void apply(decision_context& context, const status_missed& failure)
{
    const auto found = context.state.members.find(failure.server);
    if (found != context.state.members.end())
        found->second.last_poll_failed = true;
}

void apply(decision_context& context, const suspicion_reported& report)
{
    detail::record_report(context, report);
}

void apply(decision_context& context, const observation_received& observation)
{
    detail::record_observation(context, observation);
}

void apply(decision_context& context, const row_read& result)
{
    detail::record_row(context, result);
}

void apply(decision_context& context, const row_written& result)
{
    detail::record_write(context, result);
}

void apply(decision_context& context, const fence_answered& answer)
{
    detail::record_fence(context, answer);
}

void apply(decision_context& context, const promote_answered& answer)
{
    detail::record_promotion(context, answer);
}

void apply(decision_context& context, const view_learned& view)
{
    if (view.primary)
        detail::update_view(context, view.term, *view.primary);
}

void apply(decision_context& context, const server_leaving& change)
{
    const auto found = context.state.members.find(change.server);
    if (found != context.state.members.end())
        found->second.leaving = change.leaving;
}

void apply(decision_context& context, const role_changed& role)
{
    auto& state = context.state;
    state.observers = role.observers;
    if (role.coordinator && !state.coordinator)
    {
        state.monitoring_since = context.now;
        state.next_round = context.now;
        state.store.stale = true;
    }
    // A claim in progress is completed, so that the row does not remain without
    // a primary.
    if (!role.coordinator && state.current_phase == phase::confirming)
        detail::abandon(context,
                        "another host is the coordinator of the group");
    state.coordinator = role.coordinator;
}

void apply(decision_context&, const tick&) {}

void continue_phase(decision_context& context)
{
    switch (context.state.current_phase)
    {
        case phase::steady:
            if (context.state.coordinator)
                detail::review_group(context);
            else
                detail::report_suspicion(context);
            break;
        case phase::confirming:
            detail::evaluate_round(context);
            break;
        case phase::claiming:
            detail::continue_claim(context);
            break;
        case phase::fencing:
            detail::continue_fencing(context);
            break;
        case phase::promoting:
            detail::continue_promotion(context);
            break;
    }
}

}  // namespace

std::vector<action> decide(group_state& state, const event& input,
                           core::time_point now)
{
    std::vector<action> out;
    decision_context context{state, now, out};
    std::visit([&](const auto& received) { apply(context, received); }, input);
    detail::discard_expired_reports(context);
    const auto before = state.current_phase;
    continue_phase(context);
    // Handles what became due during the attempt as soon as the attempt ends.
    if (before != phase::steady && state.current_phase == phase::steady)
        continue_phase(context);
    detail::maintain_row(context);
    return out;
}

}  // namespace godwitbarrow::failover
