#pragma once

#include <array>
#include <map>
#include <set>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/lock_order.hpp"
#include "godwitbarrow/workspaces/lending.hpp"
#include "godwitbarrow/workspaces/shares.hpp"

/// Quotas that this host lends and borrows.
namespace godwitbarrow::proxy::pooled
{

/// A request to a lender that is not answered yet.
struct pending_loan
{
    core::host_id lender;
    core::time_point asked;
};

/// What this host does for one lending group.
struct lending_entry
{
    workspaces::lender_state state;
    /// The host that this one takes for the lender.
    core::host_id lender;
    /// Last request for shares, if this host is the lender.
    std::uint64_t round = 0;
    core::time_point asked{};
};

struct quota_table
{
    core::ordered_mutex<core::lock_level::quotas> mutex;
    std::array<lending_entry, workspaces::lending_groups> groups;
    workspaces::share_state shares;
    std::set<core::host_id> hosts;
    std::set<core::host_id> linked;
    /// Hosts that left a request unanswered, and until when they are passed
    /// over as lenders.
    std::map<core::host_id, core::time_point> silent;
    std::map<core::workspace_id, pending_loan> pending;
};

}  // namespace godwitbarrow::proxy::pooled
