#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/workspaces/directory.hpp"

/// Lends operations of the quotas of workspaces to hosts. Sans I/O.
///
/// Each host has an equal share of every quota. It delegates its share to one
/// lender at a time, and only the shares that are delegated to a lender count
/// there. Whoever believes to be a lender, the operations of all lenders
/// together stay within the quota.
namespace godwitbarrow::workspaces
{

struct lending_settings
{
    /// A share is delegated for this long from the request for it.
    std::chrono::milliseconds delegation{2500};
    /// Operations that were lent may run for this long after the request.
    std::chrono::milliseconds loan{350};
    /// Any span of this length counts; zero if there are no quotas.
    std::chrono::milliseconds window{0};
    /// Share and number of operations above a quota that the deployment
    /// tolerates in a window.
    double excess = 0;
    double slack = 0;
};

/// The share of one host, for as long as the lender may use it.
struct delegation
{
    /// Share of every quota, 0 to 1.
    double share = 0;
    core::time_point from;
    core::time_point end;
};

/// Operations that were lent and may not have run yet.
struct loan
{
    double count = 0;
    core::time_point end;
};

/// Token bucket of one workspace.
struct account
{
    double level = 0;
    /// `lender_state::share_time` up to which the bucket was filled.
    double filled = 0;
    std::deque<loan> loans;
};

struct lender_state
{
    lending_settings settings;
    std::map<core::host_id, delegation> delegations;
    /// Integral of the delegated shares over time, in seconds.
    double share_time = 0;
    core::time_point advanced{};
    std::map<core::workspace_id, account> accounts;
};

/// Adds the share of a host, or prolongs its delegation. `asked` is the time at
/// which the lender asked for it.
void accept_share(lender_state& it, const core::host_id& from, double share,
                  core::time_point asked, core::time_point now);

/// Sum of the shares that are delegated now, at most 1.
double delegated_share(lender_state& it, core::time_point now);

struct lent
{
    std::uint32_t count = 0;
    /// If fewer than wanted were lent: time until there are more.
    std::chrono::milliseconds retry_after{0};
};

/// Lends up to `wanted` operations of the workspace.
lent lend(lender_state& it, const core::workspace_id& workspace,
          const quota& limit, std::uint32_t wanted, core::time_point now);

}  // namespace godwitbarrow::workspaces
