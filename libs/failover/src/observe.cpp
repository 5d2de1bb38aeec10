#include <algorithm>
#include <string>

#include "detail.hpp"

namespace godwitbarrow::failover::detail
{
namespace
{

std::vector<core::host_id> pick_observers(const group_state& state)
{
    const auto n = std::min(state.observers.size(), most_observers);
    return {state.observers.begin(),
            state.observers.begin() + static_cast<std::ptrdiff_t>(n)};
}

std::size_t needed(const group_state& state)
{
    return state.observers.empty() ? 1 : hosts_needed;
}

/// Whether the reports to this host alone show the loss of contact.
bool lost_contact_here(const group_state& state, core::time_point now)
{
    std::size_t n = 0;
    for (const auto& [server, member] : state.members)
        if (server != state.view.primary && member.lost_contact_since &&
            now < member.received_at + state.limits.status_validity)
            ++n;
    const auto deadline = contact_deadline(state);
    return n >= majority(state) && deadline && now >= *deadline;
}

/// Other hosts to which a majority of the members reported lost contact.
std::size_t witnesses(const group_state& state)
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
    return lost_contact_here(state, now) &&
           witnesses(state) + 1 >= needed(state);
}

bool any_reached(const observation_round& it)
{
    return std::any_of(it.reached.begin(), it.reached.end(),
                       [](const auto& answer) { return answer.second; });
}

bool confirmed_unreachable(const group_state& state)
{
    return !any_reached(state.round) &&
           state.round.reached.size() >= needed(state);
}

void end_round(step& at, const std::string& result)
{
    auto& state = at.state;
    note(at, report_progress::step::cleared, state.view.term, result);
    state.current_phase = phase::steady;
    state.reports.clear();
    state.next_round = at.now + jittered(state, state.limits.round_pause);
}

bool reports_loss(const group_state& state, const observation_received& it)
{
    return it.reachable && it.status &&
           it.status->role == core::member_role::replica &&
           it.status->term == state.view.term && !it.status->primary_contact;
}

}  // namespace

void begin_round(step& at)
{
    auto& state = at.state;
    const auto hosts = pick_observers(state);
    const auto number = state.round.number + 1;
    state.round = {};
    state.round.number = number;
    state.round.deadline = at.now + state.limits.observation_timeout;
    state.round.asked = {hosts.begin(), hosts.end()};
    state.round.asked.insert(state.self);
    state.current_phase = phase::confirming;
    note(at, report_progress::step::suspected, state.view.term,
         "no sign of life from " + state.view.primary->value);
    const bool ask_replicas =
        std::any_of(state.members.begin(), state.members.end(),
                    [](const auto& member)
                    { return member.second.lost_contact_since.has_value(); });
    for (const auto& [server, member] : state.members)
        if (server == state.view.primary || ask_replicas)
            at.out.push_back(ask_observers{number, server, hosts});
}

void record_observation(step& at, const observation_received& it)
{
    auto& state = at.state;
    auto& round = state.round;
    if (state.current_phase != phase::confirming || it.round != round.number ||
        round.asked.count(it.observer) == 0)
        return;
    if (it.server == state.view.primary)
        round.reached[it.observer] = it.reachable;
    else if (reports_loss(state, it))
        round.lost_contact[it.server].insert(it.observer);
}

void evaluate_round(step& at)
{
    auto& state = at.state;
    if (confirmed_partition(state, at.now))
    {
        begin_claim(at, cause::partitioned);
        return;
    }
    const bool complete =
        state.round.reached.size() == state.round.asked.size();
    const bool late = at.now >= state.round.deadline;
    if ((complete || late) && confirmed_unreachable(state))
        begin_claim(at, cause::unreachable);
    else if (late)
        end_round(at, any_reached(state.round)
                          ? "an observer reached the primary"
                          : "too few hosts answered; check the links to them");
    else if (complete && !lost_contact_here(state, at.now))
        end_round(at, "an observer reached the primary");
}

}  // namespace godwitbarrow::failover::detail
