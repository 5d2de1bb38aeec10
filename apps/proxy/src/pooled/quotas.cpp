#include "quotas.hpp"

#include <algorithm>
#include <mutex>
#include <optional>

#include "godwitbarrow/telemetry/log.hpp"
#include "godwitbarrow/workspaces/messages.hpp"
#include "mesh.hpp"
#include "store_link.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

using namespace workspaces;

/// Shares are asked for this often, so that one lost answer leaves time for two
/// more before a delegation ends.
constexpr std::chrono::milliseconds share_interval{800};
/// The same while the lender of a group has no shares yet.
constexpr std::chrono::milliseconds first_share_interval{200};
/// A host that left a request unanswered is no lender for this long.
constexpr std::chrono::milliseconds silence{3000};
/// Hosts of each group that others keep links to.
constexpr std::size_t linked_lenders = 2;

bool send_quota(app& it, const core::host_id& to, const quota_message& what)
{
    return send_to_host(it, to, peer::topic::quotas, encode(what));
}

/// The host that this one takes for the lender: the first in the order of the
/// group that it can reach, or itself. Needs the mutex of the table.
core::host_id find_lender(const quota_table& t, lending_group group,
                          core::time_point now)
{
    auto all = t.hosts;
    all.insert(t.shares.self);
    for (auto& host : rank_lenders(group, all))
    {
        if (host == t.shares.self)
            return host;
        const auto n = t.silent.find(host);
        const bool silent = n != t.silent.end() && n->second > now;
        if (!silent && t.linked.count(host) > 0)
            return host;
    }
    return t.shares.self;
}

/// Needs the mutex of the table.
void update_lender(quota_table& t, lending_group group, core::time_point now)
{
    auto& entry = t.groups[group];
    auto lender = find_lender(t, group, now);
    if (lender == entry.lender)
        return;
    entry.lender = std::move(lender);
    telemetry::log_event(
        telemetry::log_level::info, "quota lender changed",
        {{"lending_group", static_cast<int>(group)}, {"lender", entry.lender}});
}

/// Begins a round of requests for shares. Needs the mutex of the table.
share_request start_round(quota_table& t, lending_group group,
                          core::time_point now)
{
    auto& entry = t.groups[group];
    entry.asked = now;
    const auto own = delegate_share(t.shares, group, t.shares.self,
                                    entry.state.settings.delegation, now);
    if (own)
        accept_share(entry.state, t.shares.self, *own, now, now);
    return {group, ++entry.round};
}

/// The hosts to keep links to as lenders.
std::set<core::host_id> wanted_lenders(const std::set<core::host_id>& others,
                                       const core::host_id& self)
{
    auto all = others;
    all.insert(self);
    std::set<core::host_id> out;
    for (lending_group group = 0; group < lending_groups; ++group)
    {
        const auto ranked = rank_lenders(group, all);
        for (std::size_t n = 0; n < ranked.size() && n < linked_lenders; ++n)
            out.insert(ranked[n]);
    }
    out.erase(self);
    return out;
}

void ask_for_shares(app& it, const std::set<core::host_id>& others)
{
    std::vector<share_request> requests;
    std::set<core::host_id> linked;
    {
        auto& t = it.quotas;
        const auto now = core::runtime_clock::now();
        std::lock_guard lock(t.mutex);
        t.hosts = others;
        record_hosts(t.shares, others, now);
        for (lending_group group = 0; group < lending_groups; ++group)
        {
            update_lender(t, group, now);
            if (t.groups[group].lender == t.shares.self)
                requests.push_back(start_round(t, group, now));
        }
        linked = t.linked;
    }
    for (const auto& request : requests)
        for (const auto& host : linked)
            send_quota(it, host, request);
}

/// Whether this host should lend and has nothing to lend.
bool lacks_shares(app& it)
{
    auto& t = it.quotas;
    const auto now = core::runtime_clock::now();
    std::lock_guard lock(t.mutex);
    return std::any_of(t.groups.begin(), t.groups.end(),
                       [&](lending_entry& entry)
                       {
                           return entry.lender.value.empty() ||
                                  (entry.lender == t.shares.self &&
                                   delegated_share(entry.state, now) == 0);
                       });
}

void keep_lending(app& it)
{
    after(it, lacks_shares(it) ? first_share_interval : share_interval,
          [&it] { keep_lending(it); });
    if (!hosts_listed(it))
        return;
    std::set<core::host_id> others;
    for (const auto& host : other_hosts(it))
        others.insert(host.host);
    want_links(it, peer::topic::quotas,
               wanted_lenders(others, it.settings.name));
    ask_for_shares(it, others);
}

std::optional<quota> quota_of(app& it, const core::workspace_id& workspace)
{
    std::lock_guard lock(it.decisions.mutex);
    const auto& all = it.decisions.state.active_configuration.workspaces.quotas;
    const auto n = all.find(workspace);
    return n == all.end() ? std::nullopt : n->second;
}

/// Nothing is lent for a workspace that this host does not know (yet).
loan_grant lend_to(app& it, const loan_request& what)
{
    loan_grant out{what.workspace, what.round, 0, share_interval};
    const auto limit = quota_of(it, what.workspace);
    if (!limit)
        return out;
    auto& t = it.quotas;
    std::lock_guard lock(t.mutex);
    const auto got =
        lend(t.groups[group_of(what.workspace)].state, what.workspace, *limit,
             what.wanted, core::runtime_clock::now());
    out.count = got.count;
    out.retry_after = got.retry_after;
    return out;
}

void finish_loan(app& it, const loan_grant& what)
{
    handle(it, pooler::operations_lent{what.workspace, what.round, what.count,
                                       what.retry_after});
}

struct message_visitor
{
    app& in;
    const core::host_id& from;

    void operator()(const share_request& what) const
    {
        std::optional<double> share;
        {
            auto& t = in.quotas;
            const auto now = core::runtime_clock::now();
            std::lock_guard lock(t.mutex);
            auto& entry = t.groups[what.group];
            update_lender(t, what.group, now);
            if (entry.lender == from)
                share = delegate_share(t.shares, what.group, from,
                                       entry.state.settings.delegation, now);
        }
        if (share)
            send_quota(in, from, share_grant{what.group, what.round, *share});
    }
    void operator()(const share_grant& what) const
    {
        auto& t = in.quotas;
        std::lock_guard lock(t.mutex);
        auto& entry = t.groups[what.group];
        if (what.round == entry.round && is_listed(t.shares, from))
            accept_share(entry.state, from, what.share, entry.asked,
                         core::runtime_clock::now());
    }
    void operator()(const loan_request& what) const
    {
        send_quota(in, from, lend_to(in, what));
    }
    void operator()(const loan_grant& what) const
    {
        {
            std::lock_guard lock(in.quotas.mutex);
            in.quotas.pending.erase(what.workspace);
        }
        finish_loan(in, what);
    }
};

void take_message(app& it, const core::host_id& from, std::string_view bytes)
{
    const auto what = decode(bytes);
    if (const auto* e = std::get_if<core::error>(&what))
        return telemetry::log_event(telemetry::log_level::warning,
                                    "message of a host not usable",
                                    {{"peer", from}, {"reason", e->message}});
    std::visit(message_visitor{it, from}, std::get<quota_message>(what));
}

void take_link(app& it, const core::host_id& peer, bool open)
{
    std::lock_guard lock(it.quotas.mutex);
    if (open)
        it.quotas.linked.insert(peer);
    else
        it.quotas.linked.erase(peer);
}

/// Chooses the lender for a request and records the request. Passes over the
/// host that did not answer the one before.
core::host_id choose_lender(app& it, const core::workspace_id& workspace)
{
    auto& t = it.quotas;
    const auto now = core::runtime_clock::now();
    const auto group = group_of(workspace);
    std::lock_guard lock(t.mutex);
    const auto before = t.pending.find(workspace);
    if (before != t.pending.end())
        t.silent[before->second.lender] = now + silence;
    update_lender(t, group, now);
    const auto& lender = t.groups[group].lender;
    if (lender == t.shares.self)
        t.pending.erase(workspace);
    else
        t.pending[workspace] = {lender, now};
    return lender;
}

}  // namespace
}  // namespace detail

void start_quotas(app& it)
{
    const auto& from = it.settings;
    if (from.quota_window.count() == 0)
        return;
    it.quotas.shares.self = from.name;
    for (auto& entry : it.quotas.groups)
    {
        auto& to = entry.state.settings;
        to.window = from.quota_window;
        to.excess = from.quota_excess;
        to.slack = static_cast<double>(from.quota_slack);
    }
    on_host_message(it, peer::topic::quotas,
                    [&it](const core::host_id& peer, std::string_view bytes)
                    { detail::take_message(it, peer, bytes); });
    on_host_link(it, [&it](const core::host_id& peer, bool open)
                 { detail::take_link(it, peer, open); });
    detail::keep_lending(it);
}

void borrow(app& it, const pooler::borrow_operations& what)
{
    const workspaces::loan_request request{what.workspace, what.round,
                                           what.wanted};
    // A host that cannot be sent to is passed over as if it had not answered.
    while (true)
    {
        const auto lender = detail::choose_lender(it, what.workspace);
        if (lender == it.settings.name)
            return detail::finish_loan(it, detail::lend_to(it, request));
        if (detail::send_quota(it, lender, request))
            return;
    }
}

}  // namespace godwitbarrow::proxy::pooled
