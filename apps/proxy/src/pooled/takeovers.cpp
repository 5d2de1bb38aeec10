#include "takeovers.hpp"

#include <algorithm>
#include <mutex>

#include "godwitbarrow/platform/promotion.hpp"
#include "godwitbarrow/telemetry/log.hpp"
#include "member_question.hpp"
#include "owner_watch.hpp"
#include "store_link.hpp"
#include "takeover_rows.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

constexpr std::chrono::milliseconds view_interval{100};
constexpr std::chrono::milliseconds question_limit{400};
/// Interval of the reads of the claims while a group awaits its settlement.
constexpr std::chrono::milliseconds settlement_interval{1000};

using core::group_id;

void advance(app& it, const group_id& group, const takeover::event& what);

takeover::takeover_settings settings_of(const app& it)
{
    takeover::takeover_settings out;
    out.self = it.settings.name;
    out.revoke_before_promotion = !it.settings.fencing;
    out.checks_tokens = it.settings.fencing;
    return out;
}

std::shared_ptr<service_link> link_of(app& it, const group_id& group,
                                      bool promotions)
{
    std::lock_guard lock(it.takeovers.mutex);
    auto& entry = it.takeovers.groups[group];
    auto& link = promotions ? entry.promotions : entry.store;
    if (!link)
    {
        link = std::make_shared<service_link>();
        link->to = promotions ? it.settings.promotions : it.settings.store;
    }
    return link;
}

takeover::event as_ordered(const http::exchange_result& got)
{
    switch (platform::parse_promoted(got))
    {
        case platform::promotion_result::accepted:
            return takeover::promotion_answered{
                takeover::order_result::accepted};
        case platform::promotion_result::refused:
            return takeover::promotion_answered{
                takeover::order_result::refused};
        default:
            return takeover::promotion_answered{
                takeover::order_result::unknown};
    }
}

std::optional<pooler::registration> find_registration(
    app& it, const group_id& group, const core::server_id& server)
{
    std::lock_guard lock(it.decisions.mutex);
    const auto& groups = it.decisions.state.groups;
    const auto g = groups.find(group);
    if (g == groups.end())
        return std::nullopt;
    const auto m = g->second.members.find(server);
    if (m == g->second.members.end())
        return std::nullopt;
    return m->second.record;
}

struct performer
{
    app& in;
    const group_id& group;

    /// Returns a handler that feeds the result of a call back.
    std::function<void(const takeover::event&)> feed_back() const
    {
        return [&it = in, g = group](const takeover::event& what)
        {
            advance(it, g, what);
        };
    }

    /// On a connection of its own, since the next call may follow before the
    /// answer.
    void change_row(const takeover::claim& row, std::uint64_t version) const
    {
        write_changed_row(in, make_store_link(in), group, row, version);
    }

    void operator()(const takeover::read_rows&) const
    {
        read_takeover_rows(in, link_of(in, group, false), group, feed_back());
    }

    void operator()(const takeover::write_claim& a) const
    {
        write_claim_row(in, link_of(in, group, false), group, a, feed_back());
    }

    void operator()(const takeover::settle_claim& a) const
    {
        change_row(a.row, a.expected_version);
    }

    void operator()(const takeover::clear_pauses& a) const
    {
        change_row(a.row, a.expected_version);
    }

    void operator()(const takeover::write_vote& a) const
    {
        write_vote_row(in, link_of(in, group, false), group, a, feed_back());
    }

    void operator()(const takeover::ask_member& a) const
    {
        const auto about = find_registration(in, group, a.server);
        if (!about)
            return advance(in, group,
                           takeover::member_answered{a.server, std::nullopt});
        ask_member(
            in, *about,
            {a.pause_replication_at, a.step_down_at, a.resume_replication},
            question_limit,
            [&it = in, g = group,
             server = a.server](std::optional<takeover::member_report> r) {
                advance(it, g, takeover::member_answered{server, r});
            });
    }

    void operator()(const takeover::order_promotion& a) const
    {
        call_service(
            in, link_of(in, group, true),
            platform::promote({group, a.server, in.settings.name, a.token}),
            settings_of(in).promotion_timeout,
            [&it = in, g = group](const http::exchange_result& got)
            { advance(it, g, as_ordered(got)); });
    }

    void operator()(const takeover::revoke_primary& a) const
    {
        handle(in, pooler::primary_revoked{group, a.server});
    }

    void operator()(const takeover::use_primary& a) const
    {
        handle(in, pooler::primary_settled{group, a.token, a.server,
                                           a.unrestricted});
    }

    void operator()(const takeover::primary_known& a) const
    {
        handle(in, pooler::primary_confirmed{group, a.server, a.promoted});
    }

    void operator()(const takeover::failover_step& a) const
    {
        telemetry::count_failover_step(*in.metrics, a.name);
        telemetry::log_event(
            telemetry::log_level::info, a.name,
            {{"group", group}, {"server", a.server}, {"detail", a.detail}});
    }
};

void advance(app& it, const group_id& group, const takeover::event& what)
{
    takeover::actions out;
    {
        std::lock_guard lock(it.takeovers.mutex);
        out =
            takeover::decide(it.takeovers.groups[group].state, settings_of(it),
                             what, core::runtime_clock::now());
    }
    for (const auto& a : out)
        std::visit(performer{it, group}, a);
}

/// What the pooler sees of each group.
std::map<group_id, takeover::group_view> view_groups(app& it)
{
    std::map<group_id, takeover::group_view> out;
    std::lock_guard lock(it.decisions.mutex);
    const auto& all = it.decisions.state;
    for (const auto& [id, g] : all.groups)
    {
        const auto seen =
            pooler::view_primary(all, id, core::runtime_clock::now());
        takeover::group_view view;
        view.primary = seen.server;
        view.unreachable = seen.unreachable;
        view.unreachable_for =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                seen.unreachable_for);
        view.leaving = seen.leaving;
        view.live_hosts = all.live_hosts;
        view.store_era = it.store.newest_era;
        view.newest_term = seen.newest_term;
        view.synchronous_replicas = g.settings.synchronous_replicas;
        for (const auto& [server, m] : g.members)
        {
            if (m.record.leaving)
                view.leaving_members.push_back(server);
            else if (server != seen.server)
                view.candidates.push_back(server);
        }
        out.emplace(id, std::move(view));
    }
    return out;
}

/// Only owners talk to the members of a group, so only they vote about its
/// primary. What another host saw of it is outdated.
void limit_to_owners(app& it, std::map<group_id, takeover::group_view>& views)
{
    for (auto& [group, view] : views)
    {
        view.live_hosts = count_owners(it, group).value_or(view.live_hosts);
        if (serves_group(it, group))
            continue;
        view.unreachable = false;
        view.unreachable_for = std::chrono::milliseconds(0);
        view.leaving = false;
    }
}

/// Whether hosts have to see a claim before the promotion: where a replaced
/// primary leads on until it is told to step down, and where a commit that it
/// acknowledges meanwhile must not be lost.
bool needs_claims(const app& it,
                  const std::map<group_id, takeover::group_view>& views)
{
    return !it.settings.fencing ||
           std::any_of(views.begin(), views.end(),
                       [](const auto& v)
                       { return v.second.synchronous_replicas > 0; });
}

claim_handlers claim_handlers_of(app& it)
{
    claim_handlers on;
    on.claim =
        [&it](const group_id& group, const takeover::claim_observed& claim)
    {
        advance(it, group, claim);
    };
    on.read = [&it](pooler::claims_read what)
    {
        handle(it, std::move(what));
    };
    return on;
}

/// Follows the claims of all hosts from the first time that they are needed.
void follow_claims(app& it)
{
    if (it.takeovers.claims_followed.exchange(true))
        return;
    // Also of groups that are not known yet: the configuration may come later.
    watch_claims(it, claim_handlers_of(it));
}

/// Whether this host uses no primary of a group because of the last claim that
/// it has seen.
bool awaits_settlement(app& it)
{
    std::lock_guard lock(it.decisions.mutex);
    const auto& groups = it.decisions.state.groups;
    return std::any_of(
        groups.begin(), groups.end(),
        [](const auto& g)
        {
            const auto& known = g.second.settled;
            return known && !known->unrestricted &&
                   (!known->server || g.second.primary != known->server);
        });
}

/// Reads the claims while one has to be settled: a host that misses the change
/// of the row would refuse its callers until the next claim.
void look_for_settlement(app& it)
{
    const auto now = core::runtime_clock::now();
    if (!awaits_settlement(it) ||
        now - it.takeovers.settlement_read_at < settlement_interval)
        return;
    it.takeovers.settlement_read_at = now;
    read_claims(it);
}

void look_at_groups(app& it)
{
    auto views = view_groups(it);
    limit_to_owners(it, views);
    if (needs_claims(it, views))
        follow_claims(it);
    for (auto& [group, view] : views)
        advance(it, group, takeover::group_view_updated{std::move(view)});
    look_for_settlement(it);
}

void look_again(app& it, const std::shared_ptr<core::timer>& t)
{
    t->expires_after(view_interval);
    t->async_wait(
        [&it, t](boost::system::error_code ec)
        {
            if (ec)
                return;
            look_at_groups(it);
            look_again(it, t);
        });
}

}  // namespace
}  // namespace detail

void read_claims(app& it)
{
    if (it.takeovers.reading_claims.exchange(true))
        return;
    read_claims(it, it.takeovers.claims, detail::claim_handlers_of(it),
                [&it] { it.takeovers.reading_claims = false; });
}

void watch_primaries(app& it)
{
    it.takeovers.claims = make_store_link(it);
    detail::look_again(it, std::make_shared<core::timer>(it.io));
}

}  // namespace godwitbarrow::proxy::pooled
