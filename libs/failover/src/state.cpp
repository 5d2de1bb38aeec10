#include "godwitbarrow/failover/state.hpp"

#include <functional>
#include <utility>

#include "detail.hpp"

namespace godwitbarrow::failover
{

group_state make_group(const core::group_id& group, const core::host_id& self,
                       const std::vector<core::server_id>& members,
                       core::time_point now)
{
    group_state state;
    state.group = group;
    state.self = self;
    for (const auto& member : members)
        state.members[member] = {};
    state.monitoring_since = now;
    state.next_report = now;
    state.next_round = now;
    state.next_switchover = now;
    state.incarnation =
        static_cast<std::uint64_t>(now.time_since_epoch().count());
    state.jitter = std::hash<std::string>{}(self.value + '/' + group.value);
    return state;
}

namespace detail
{

std::size_t majority(const group_state& state)
{
    return state.members.size() / 2 + 1;
}

const member_state* find_primary(const group_state& state)
{
    if (!state.view.primary)
        return nullptr;
    const auto found = state.members.find(*state.view.primary);
    return found == state.members.end() ? nullptr : &found->second;
}

std::chrono::milliseconds jittered(group_state& state,
                                   std::chrono::milliseconds longest)
{
    // Linear congruential generator with the constants of Knuth's MMIX; it only
    // spreads retries.
    state.jitter =
        state.jitter * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto half = longest / 2;
    const auto n = static_cast<std::uint64_t>(half.count()) + 1;
    return longest - std::chrono::milliseconds(
                         static_cast<std::int64_t>((state.jitter >> 33U) % n));
}

core::attempt_id next_attempt(group_state& state)
{
    ++state.attempts;
    return {state.self.value + '/' + std::to_string(state.incarnation) + '/' +
            std::to_string(state.attempts)};
}

void emit_progress(decision_context& context, report_progress::step reached,
                   core::term_number term, std::string detail)
{
    context.out.push_back(report_progress{reached, term, std::move(detail)});
}

void abandon(decision_context& context, const std::string& reason)
{
    auto& state = context.state;
    emit_progress(context, report_progress::step::abandoned, state.attempt.term,
                  reason);
    state.current_phase = phase::steady;
    state.attempt = {};
    state.next_round =
        context.now + jittered(state, state.limits.round_backoff);
}

}  // namespace detail
}  // namespace godwitbarrow::failover
