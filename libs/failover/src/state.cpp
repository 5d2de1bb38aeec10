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
    group_state it;
    it.group = group;
    it.self = self;
    for (const auto& member : members)
        it.members[member] = {};
    it.watching_since = now;
    it.next_report = now;
    it.next_round = now;
    it.next_ordered = now;
    it.incarnation = static_cast<std::uint64_t>(now.time_since_epoch().count());
    it.jitter = std::hash<std::string>{}(self.value + '/' + group.value);
    return it;
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
    const auto it = state.members.find(*state.view.primary);
    return it == state.members.end() ? nullptr : &it->second;
}

std::chrono::milliseconds jittered(group_state& state,
                                   std::chrono::milliseconds longest)
{
    // Linear congruential generator of Knuth's MMIX; only spreads retries.
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

void note(step& at, report_progress::step reached, core::term_number term,
          std::string detail)
{
    at.out.push_back(report_progress{reached, term, std::move(detail)});
}

void abandon(step& at, const std::string& reason)
{
    auto& it = at.state;
    note(at, report_progress::step::abandoned, it.attempt.term, reason);
    it.current_phase = phase::steady;
    it.attempt = {};
    it.next_round = at.now + jittered(it, it.limits.round_pause);
}

}  // namespace detail
}  // namespace godwitbarrow::failover
