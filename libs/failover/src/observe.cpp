#include <algorithm>
#include <string>

#include "detail.hpp"

namespace godwitbarrow::failover::detail
{
namespace
{

std::vector<core::host_id> pick_observers(const group_state& state)
{
    const auto n = std::min(state.observers.size(), max_observers);
    return {state.observers.begin(),
            state.observers.begin() + static_cast<std::ptrdiff_t>(n)};
}

std::size_t confirmations_needed(const group_state& state)
{
    return state.observers.empty() ? 1 : min_agreeing_hosts;
}

/// Whether the statuses received by this host alone show lost contact.
bool lost_contact_locally(const group_state& state, core::time_point now)
{
    std::size_t n = 0;
    for (const auto& [server, member] : state.members)
        if (server != state.view.primary && member.lost_contact_since &&
            now < member.received_at + state.limits.status_validity)
            ++n;
    const auto deadline = contact_deadline(state);
    return n >= majority(state) && deadline && now >= *deadline;
}

/// Counts the other hosts to which a majority of the members reported lost
/// contact.
std::size_t count_confirming_hosts(const group_state& state)
{
    std::size_t n = 0;
    for (const auto& host : state.round.asked)
    {
        if (host == state.self)
            continue;
        std::size_t replicas = 0;
        for (const auto& [server, hosts] : state.round.lost_contact)
            replicas += hosts.count(host);
        if (replicas >= majority(state))
            ++n;
    }
    return n;
}

bool confirmed_partition(const group_state& state, core::time_point now)
{
    return lost_contact_locally(state, now) &&
           count_confirming_hosts(state) + 1 >= confirmations_needed(state);
}

bool any_reached(const observation_round& round)
{
    return std::any_of(round.reached.begin(), round.reached.end(),
                       [](const auto& answer) { return answer.second; });
}

bool confirmed_unreachable(const group_state& state)
{
    return !any_reached(state.round) &&
           state.round.reached.size() >= confirmations_needed(state);
}

void end_round(decision_context& context, const std::string& result)
{
    auto& state = context.state;
    emit_progress(context, report_progress::step::cleared, state.view.term,
                  result);
    state.current_phase = phase::steady;
    state.reports.clear();
    state.next_round =
        context.now + jittered(state, state.limits.round_backoff);
}

bool reports_lost_contact(const group_state& state,
                          const observation_received& observation)
{
    return observation.reachable && observation.status &&
           observation.status->role == core::member_role::replica &&
           observation.status->term == state.view.term &&
           !observation.status->primary_contact;
}

}  // namespace

void begin_round(decision_context& context)
{
    auto& state = context.state;
    const auto hosts = pick_observers(state);
    const auto number = state.round.number + 1;
    state.round = {};
    state.round.number = number;
    state.round.deadline = context.now + state.limits.observation_timeout;
    state.round.asked = {hosts.begin(), hosts.end()};
    state.round.asked.insert(state.self);
    state.current_phase = phase::confirming;
    emit_progress(context, report_progress::step::suspected, state.view.term,
                  "suspected failure of primary " + state.view.primary->value);
    const bool ask_replicas =
        std::any_of(state.members.begin(), state.members.end(),
                    [](const auto& member)
                    { return member.second.lost_contact_since.has_value(); });
    for (const auto& [server, member] : state.members)
        if (server == state.view.primary || ask_replicas)
            context.out.push_back(ask_observers{number, server, hosts});
}

void record_observation(decision_context& context,
                        const observation_received& observation)
{
    auto& state = context.state;
    auto& round = state.round;
    if (state.current_phase != phase::confirming ||
        observation.round != round.number ||
        round.asked.count(observation.observer) == 0)
        return;
    if (observation.server == state.view.primary)
        round.reached[observation.observer] = observation.reachable;
    else if (reports_lost_contact(state, observation))
        round.lost_contact[observation.server].insert(observation.observer);
}

void evaluate_round(decision_context& context)
{
    auto& state = context.state;
    if (confirmed_partition(state, context.now))
    {
        begin_claim(context, cause::partitioned);
        return;
    }
    const bool complete =
        state.round.reached.size() == state.round.asked.size();
    const bool late = context.now >= state.round.deadline;
    if ((complete || late) && confirmed_unreachable(state))
        begin_claim(context, cause::unreachable);
    else if (late)
        end_round(
            context,
            any_reached(state.round)
                ? "an observer reached the primary"
                : "too few hosts answered; check the network links to them");
    else if (complete && !lost_contact_locally(state, context.now))
        end_round(context, "an observer reached the primary");
}

}  // namespace godwitbarrow::failover::detail
