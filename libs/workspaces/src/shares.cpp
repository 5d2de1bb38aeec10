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
    rated.reserve(hosts.size());
    for (const auto& host : hosts)
        rated.emplace_back(routing::rendezvous_hash(key, host.value), host);
    std::sort(rated.rbegin(), rated.rend());
    std::vector<core::host_id> out;
    out.reserve(rated.size());
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

bool is_listed(const share_state& it, const core::host_id& host)
{
    return it.listed.count(host) > 0;
}

namespace
{

bool is_first_lender(const share_state& it, lending_group group,
                     const core::host_id& lender)
{
    std::set<core::host_id> all{it.self};
    for (const auto& [host, at] : it.listed)
        all.insert(host);
    return rank_lenders(group, all).front() == lender;
}

}  // namespace

std::optional<double> delegate_share(share_state& it, lending_group group,
                                     const core::host_id& lender,
                                     std::chrono::milliseconds time,
                                     core::time_point now)
{
    if (!it.first_listed)
        return std::nullopt;
    const bool starting = now - *it.first_listed < it.settings.start;
    if (starting && !is_first_lender(it, group, lender))
        return std::nullopt;
    auto& p = it.promises[group];
    if (p.lender != lender && now < p.end)
        return std::nullopt;
    p = {lender, std::max(p.end, now + time)};
    return 1.0 / static_cast<double>(it.listed.size() + 1);
}

}  // namespace godwitbarrow::workspaces
