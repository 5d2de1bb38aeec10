#pragma once

#include <cstddef>
#include <vector>

#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/hosts/host.hpp"

/// Choice of the hosts that serve the sessions of a group. Sans I/O.
namespace godwitbarrow::owners
{

/// What one member of a group accepts from all hosts in total.
struct member_capacity
{
    std::size_t max_connections = 1;
    /// Statements that it executes concurrently.
    std::size_t slots = 1;
};

struct ownership
{
    /// Each host serves its own callers; `owners` is empty.
    bool all_hosts = true;
    /// Ordered by name.
    std::vector<hosts::peer_host> owners;
};

bool operator==(const ownership& a, const ownership& b);
bool operator!=(const ownership& a, const ownership& b);

/// Returns the owners of a group among the live hosts, those that are leaving
/// excluded. The order of `live` does not matter, so that hosts with the same
/// list agree.
ownership choose_owners(const core::group_id& group,
                        const member_capacity& capacity,
                        const std::vector<hosts::peer_host>& live);

bool is_owner(const ownership& of, const core::host_id& host);

/// Returns the owners in the order in which the entry host tries them: first
/// those of its own region. Entry hosts of one region are spread over them.
std::vector<core::host_id> preferred_owners(const ownership& of,
                                            const hosts::peer_host& entry);

}  // namespace godwitbarrow::owners
