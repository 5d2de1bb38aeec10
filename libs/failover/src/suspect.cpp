#include <algorithm>

#include "detail.hpp"

namespace godwitbarrow::failover::detail
{
namespace
{

bool enough_reports(const group_state& state, core::time_point now)
{
    const auto recent = [&](core::time_point it)
    {
        return it + state.limits.report_window > now;
    };
    const auto n =
        std::count_if(state.reports.begin(), state.reports.end(), recent);
    return static_cast<std::size_t>(n) >= reports_needed;
}

bool is_due(std::optional<core::time_point> it, core::time_point now)
{
    return it && now >= *it;
}

}  // namespace

std::optional<core::time_point> silence_deadline(const group_state& state)
{
    const auto* member = find_primary(state);
    if (member == nullptr)
        return std::nullopt;
    const auto since =
        std::max({member->received_at, state.watching_since, state.view.since});
    auto wait = member->poll_wait.value_or(state.limits.longest_poll_wait);
    if (member->missed)
        wait = std::chrono::milliseconds::zero();
    return since + wait + state.limits.status_timeout;
}

std::optional<core::time_point> contact_deadline(const group_state& state)
{
    std::vector<core::time_point> lost;
    for (const auto& [server, member] : state.members)
        if (server != state.view.primary && member.lost_contact_since)
            lost.push_back(*member.lost_contact_since);
    if (!state.view.primary || lost.size() < majority(state))
        return std::nullopt;
    std::sort(lost.begin(), lost.end());
    return lost[majority(state) - 1] + state.limits.contact_loss -
           state.limits.member_contact_timeout;
}

void forget_old_reports(step& at)
{
    auto& reports = at.state.reports;
    const auto old = [&](core::time_point it)
    {
        return it + at.state.limits.report_window <= at.now;
    };
    reports.erase(std::remove_if(reports.begin(), reports.end(), old),
                  reports.end());
}

bool suspects_primary(const group_state& state, core::time_point now)
{
    return is_due(silence_deadline(state), now) ||
           is_due(contact_deadline(state), now) || enough_reports(state, now);
}

void record_report(step& at, const suspicion_reported& it)
{
    auto& state = at.state;
    if (it.server != state.view.primary)
        return;
    if (state.coordinator)
    {
        state.reports.push_back(at.now);
        if (state.reports.size() > reports_needed)
            state.reports.erase(state.reports.begin());
        return;
    }
    if (it.reporter != state.self || at.now < state.next_report)
        return;
    state.next_report = at.now + state.limits.report_interval;
    at.out.push_back(report_to_coordinator{it.server});
}

void report_suspicion(step& at)
{
    auto& state = at.state;
    if (at.now < state.next_round || !suspects_primary(state, at.now))
        return;
    state.next_round = at.now + state.limits.silence_report_interval;
    const auto* primary = find_primary(state);
    // A host that does not poll the primary learns nothing from its silence.
    if (primary == nullptr || (!primary->status && !primary->missed))
        return;
    at.out.push_back(report_to_coordinator{*state.view.primary});
}

}  // namespace godwitbarrow::failover::detail
