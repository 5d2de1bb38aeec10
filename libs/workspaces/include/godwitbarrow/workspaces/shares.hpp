#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/names.hpp"

/// Which host lends for a workspace, and the share of this host. Sans I/O.
namespace godwitbarrow::workspaces
{

/// Workspaces are divided into groups with a lender each, so that a host needs
/// links to a few others only.
using lending_group = std::uint8_t;
constexpr lending_group lending_groups = 3;

lending_group group_of(const core::workspace_id& workspace);

/// All hosts, best lender of the group first.
std::vector<core::host_id> rank_lenders(lending_group group,
                                        const std::set<core::host_id>& hosts);

struct share_settings
{
    /// A host that is no longer listed counts for this long. It may go on
    /// without the store.
    std::chrono::milliseconds retention{60000};
    /// Until then after the start, other hosts may not count this one, and a
    /// share that was delegated before a restart may not have ended. It is
    /// delegated only to the first lender of the group, who is likely to have
    /// had it before.
    std::chrono::milliseconds start{5000};
};

/// The share of this host of each quota, and to whom it is delegated.
struct share_state
{
    share_settings settings;
    core::host_id self;
    /// When each other host was listed last.
    std::map<core::host_id, core::time_point> listed;
    std::optional<core::time_point> first_listed;

    struct promise
    {
        core::host_id lender;
        core::time_point end;
    };
    std::map<lending_group, promise> promises;
};

/// Records the hosts that are listed, without this one.
void record_hosts(share_state& it, const std::set<core::host_id>& others,
                  core::time_point now);

/// Whether this host has counted the host.
bool is_listed(const share_state& it, const core::host_id& host);

/// Delegates the share to the lender for `time`. Returns nothing if this host
/// has none yet, or if it is delegated to another lender.
std::optional<double> delegate_share(share_state& it, lending_group group,
                                     const core::host_id& lender,
                                     std::chrono::milliseconds time,
                                     core::time_point now);

}  // namespace godwitbarrow::workspaces
