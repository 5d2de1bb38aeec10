#include <algorithm>

#include "detail.hpp"

namespace godwitbarrow::failover::detail
{
namespace
{

bool enough_reports(const group_state& state, core::time_point now)
{
    const auto recent = [&](core::time_point reported_at)
    {
        return reported_at + state.limits.report_window > now;
    };
    const auto n =
        std::count_if(state.reports.begin(), state.reports.end(), recent);
    return static_cast<std::size_t>(n) >= suspicion_threshold;
}

bool is_due(std::optional<core::time_point> deadline, core::time_point now)
{
    return deadline && now >= *deadline;
}

}  // namespace

std::optional<core::time_point> silence_deadline(const group_state& state)
{
    const auto* member = find_primary(state);
    if (member == nullptr)
        return std::nullopt;
    const auto since = std::max(
        {member->received_at, state.monitoring_since, state.view.since});
    auto wait = member->poll_wait.value_or(state.limits.max_poll_wait);
    if (member->last_poll_failed)
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
    return lost[majority(state) - 1] + state.limits.contact_loss_timeout -
           state.limits.member_contact_timeout;
}

void discard_expired_reports(decision_context& context)
{
    auto& reports = context.state.reports;
    const auto expired = [&](core::time_point reported_at)
    {
        return reported_at + context.state.limits.report_window <= context.now;
    };
    reports.erase(std::remove_if(reports.begin(), reports.end(), expired),
                  reports.end());
}

bool suspects_primary(const group_state& state, core::time_point now)
{
    return is_due(silence_deadline(state), now) ||
           is_due(contact_deadline(state), now) || enough_reports(state, now);
}

void record_report(decision_context& context, const suspicion_reported& report)
{
    auto& state = context.state;
    if (report.server != state.view.primary)
        return;
    if (state.coordinator)
    {
        state.reports.push_back(context.now);
        if (state.reports.size() > suspicion_threshold)
            state.reports.erase(state.reports.begin());
        return;
    }
    if (report.reporter != state.self || context.now < state.next_report)
        return;
    state.next_report = context.now + state.limits.report_interval;
    context.out.push_back(report_to_coordinator{report.server});
}

void report_suspicion(decision_context& context)
{
    auto& state = context.state;
    if (context.now < state.next_round || !suspects_primary(state, context.now))
        return;
    state.next_round = context.now + state.limits.silence_report_interval;
    const auto* primary = find_primary(state);
    // If this host does not poll the primary, missing statuses prove nothing.
    if (primary == nullptr || (!primary->status && !primary->last_poll_failed))
        return;
    context.out.push_back(report_to_coordinator{*state.view.primary});
}

}  // namespace godwitbarrow::failover::detail
