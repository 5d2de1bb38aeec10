#include "godwitbarrow/workspaces/lending.hpp"

#include <algorithm>
#include <cmath>

namespace godwitbarrow::workspaces
{
namespace detail
{
namespace
{

/// Told to a borrower if the lender does not know when it can lend more.
constexpr std::chrono::milliseconds unknown_retry{200};

/// Parts of the tolerated excess: for bursts of workspaces with a low rate, and
/// for operations that were lent and may have run already. The rest covers
/// hosts that count each other differently.
constexpr double tolerance_for_bursts = 0.5;
constexpr double tolerance_for_loans = 0.25;

/// Least part of all shares with which a lender rounds a burst up. At most one
/// lender has it.
constexpr double majority = 0.6;

double seconds(core::duration it)
{
    return std::chrono::duration<double>(it).count();
}

/// Removes delegations that have ended, with what they contributed to the
/// buckets: their hosts may use these shares again.
void remove_ended(lender_state& it, core::time_point now)
{
    double all = 0;
    double ended = 0;
    for (auto n = it.delegations.begin(); n != it.delegations.end();)
    {
        all += n->second.share;
        if (n->second.end > now)
        {
            ++n;
            continue;
        }
        ended += n->second.share;
        n = it.delegations.erase(n);
    }
    if (ended == 0)
        return;
    const double kept = it.delegations.empty() ? 0 : (all - ended) / all;
    for (auto& [workspace, a] : it.accounts)
    {
        a.level *= kept;
        a.filled = it.share_time;
    }
}

/// Adds the time since the last call to the integral of the shares.
void advance(lender_state& it, core::time_point now)
{
    if (now <= it.advanced)
        return;
    double added = 0;
    for (const auto& [host, d] : it.delegations)
    {
        const auto from = std::max(it.advanced, d.from);
        const auto to = std::min(now, d.end);
        if (to > from)
            added += d.share * seconds(to - from);
    }
    // Hosts that were just added count more hosts than others do.
    it.share_time += std::min(added, seconds(now - it.advanced));
    it.advanced = now;
    remove_ended(it, now);
}

double outstanding(account& a, core::time_point now)
{
    while (!a.loans.empty() && a.loans.front().end <= now)
        a.loans.pop_front();
    double out = 0;
    for (const auto& n : a.loans)
        out += n.count;
    return out;
}

/// Operations above the quota that the deployment tolerates in a window.
double tolerance(const lending_settings& s, const quota& limit)
{
    const double in_window = limit.rate * seconds(s.window) + limit.burst;
    return in_window * s.excess + s.slack;
}

void fill(lender_state& it, account& a, const quota& limit, double share,
          core::time_point now)
{
    const double tolerated = tolerance(it.settings, limit);
    double burst = (limit.burst + tolerated * tolerance_for_bursts) * share;
    if (share >= majority)
        burst = std::ceil(burst);
    const double lent = outstanding(a, now) - tolerated * tolerance_for_loans;
    a.level += limit.rate * (it.share_time - a.filled);
    a.level = std::min(a.level, std::max(burst - std::max(lent, 0.0), 0.0));
    a.filled = it.share_time;
}

std::chrono::milliseconds time_until_next(double level, double rate)
{
    if (rate <= 0)
        return unknown_retry;
    const auto wait = std::chrono::duration<double>((1 - level) / rate);
    return std::min(std::chrono::ceil<std::chrono::milliseconds>(wait),
                    unknown_retry);
}

}  // namespace
}  // namespace detail

void accept_share(lender_state& it, const core::host_id& from, double share,
                  core::time_point asked, core::time_point now)
{
    detail::advance(it, now);
    const auto end = asked + it.settings.delegation;
    if (end <= now)
        return;
    const auto [n, added] =
        it.delegations.try_emplace(from, delegation{share, now, end});
    if (added)
        return;
    n->second.share = share;
    n->second.end = std::max(n->second.end, end);
}

double delegated_share(lender_state& it, core::time_point now)
{
    detail::advance(it, now);
    double out = 0;
    for (const auto& [host, d] : it.delegations)
        out += d.share;
    return std::min(out, 1.0);
}

lent lend(lender_state& it, const core::workspace_id& workspace,
          const quota& limit, std::uint32_t wanted, core::time_point now)
{
    const double share = delegated_share(it, now);
    auto& a = it.accounts[workspace];
    detail::fill(it, a, limit, share, now);
    const double count = std::min<double>(wanted, std::floor(a.level));
    a.level -= count;
    if (count > 0)
        a.loans.push_back({count, now + it.settings.loan});
    lent out;
    out.count = static_cast<std::uint32_t>(count);
    if (out.count < wanted)
        out.retry_after = detail::time_until_next(a.level, limit.rate * share);
    return out;
}

}  // namespace godwitbarrow::workspaces
