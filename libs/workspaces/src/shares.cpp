#include "godwitbarrow/workspaces/shares.hpp"

#include <algorithm>
#include <string>

#include "godwitbarrow/routing/owner.hpp"

namespace godwitbarrow::workspaces
{

lending_group group_of(const core::workspace_id& workspace)
{
    return static_cast<lending_group>(
        routing::rendezvous_hash(workspace.value, "lending group") %
        lending_groups);
}

std::vector<core::host_id> rank_lenders(lending_group group,
                                        const std::set<core::host_id>& hosts)
{
    const auto key = "quota lender " + std::to_string(group);
    std::vector<std::pair<std::uint64_t, core::host_id>> rated;
    for (const auto& host : hosts)
        rated.emplace_back(routing::rendezvous_hash(key, host.value), host);
    std::sort(rated.rbegin(), rated.rend());
    std::vector<core::host_id> out;
    for (auto& [hash, host] : rated)
        out.push_back(std::move(host));
    return out;
}

void record_hosts(share_state& it, const std::set<core::host_id>& others,
                  core::time_point now)
{
    if (!it.first_listed)
        it.first_listed = now;
    for (const auto& host : others)
        it.listed[host] = now;
    for (auto n = it.listed.begin(); n != it.listed.end();)
        n = now - n->second >= it.settings.retention ? it.listed.erase(n)
                                                     : std::next(n);
}

double own_share(share_state& it, core::time_point now)
{
    if (!it.first_listed || now - *it.first_listed < it.settings.start)
        return 0;
    return 1.0 / static_cast<double>(it.listed.size() + 1);
}

std::optional<double> delegate_share(share_state& it, lending_group group,
                                     const core::host_id& lender,
                                     std::chrono::milliseconds time,
                                     core::time_point now)
{
    const double share = own_share(it, now);
    if (share == 0)
        return std::nullopt;
    auto& p = it.promises[group];
    if (p.lender != lender && now < p.end)
        return std::nullopt;
    p = {lender, std::max(p.end, now + time)};
    return share;
}

}  // namespace godwitbarrow::workspaces
