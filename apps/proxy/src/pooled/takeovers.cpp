#include "takeovers.hpp"

#include <mutex>

#include "godwitbarrow/platform/promotion.hpp"
#include "godwitbarrow/platform/rows.hpp"
#include "godwitbarrow/takeover/row.hpp"
#include "godwitbarrow/telemetry/log.hpp"
#include "member_question.hpp"
#include "store_link.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

constexpr std::chrono::milliseconds view_interval{100};
constexpr std::chrono::milliseconds store_limit{800};
constexpr std::chrono::milliseconds promotion_limit{1000};
constexpr std::chrono::milliseconds question_limit{400};
const std::string takeover_table_name = "takeovers";

using core::group_id;

void advance(app& it, const group_id& group, const takeover::event& what);

takeover::takeover_settings settings_of(const app& it)
{
    takeover::takeover_settings out;
    out.self = it.settings.name;
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

void log_unreadable(const group_id& group, const std::string& key,
                    const core::error& why)
{
    telemetry::log_event(
        telemetry::log_level::error, "takeover row not used",
        {{"group", group}, {"row", key}, {"reason", why.message}});
}

/// Votes have the key of their group, the separator and the name of the host.
constexpr char vote_separator = '/';
/// The first key after those of all votes of a group.
constexpr char after_votes = vote_separator + 1;

std::string vote_prefix(const group_id& group)
{
    return group.value + vote_separator;
}

void take_claim(takeover::rows_read& out, const group_id& group,
                const platform::row& row)
{
    out.version = row.version;
    const auto decoded = takeover::decode_claim(row.value);
    if (const auto* e = std::get_if<core::error>(&decoded))
        return log_unreadable(group, row.key, *e);
    out.last_claim = std::get<takeover::claim>(decoded);
}

void take_vote(takeover::rows_read& out, const group_id& group,
               const platform::row& row)
{
    const auto decoded = takeover::decode_vote(row.value);
    if (const auto* e = std::get_if<core::error>(&decoded))
        return log_unreadable(group, row.key, *e);
    out.votes[{row.key.substr(vote_prefix(group).size())}] =
        std::get<takeover::vote>(decoded);
}

takeover::event as_read(const group_id& group, const http::exchange_result& got)
{
    const auto* a = std::get_if<http::answer>(&got);
    if (!a)
        return takeover::store_failed{};
    const auto parsed = platform::parse_rows(*a);
    if (!ok(parsed))
        return takeover::store_failed{};
    const auto& page = std::get<platform::row_page>(parsed);
    takeover::rows_read out;
    out.store_time = page.store_time;
    // Keys of other groups whose names continue this one may be between.
    for (const auto& row : page.rows)
        if (row.key == group.value)
            take_claim(out, group, row);
        else if (row.key.rfind(vote_prefix(group), 0) == 0)
            take_vote(out, group, row);
    return out;
}

takeover::event as_written(const http::exchange_result& got)
{
    const auto* a = std::get_if<http::answer>(&got);
    if (!a)
        return takeover::row_written{takeover::write_result::unknown, 0};
    const auto parsed = platform::parse_written(*a);
    if (const auto* e = std::get_if<core::error>(&parsed))
        return takeover::row_written{e->kind == core::error_kind::conflict
                                         ? takeover::write_result::conflict
                                         : takeover::write_result::unknown,
                                     0};
    return takeover::row_written{takeover::write_result::done,
                                 std::get<std::uint64_t>(parsed)};
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

    void operator()(const takeover::read_rows&) const
    {
        call_service(in, link_of(in, group, false),
                     platform::list_rows(takeover_table_name, group.value,
                                         group.value + after_votes),
                     store_limit,
                     [&it = in, g = group](const http::exchange_result& got)
                     { advance(it, g, as_read(g, got)); });
    }

    void write(std::string key, std::string value,
               std::optional<std::uint64_t> expected) const
    {
        platform::row row;
        row.table = takeover_table_name;
        row.key = std::move(key);
        row.value = std::move(value);
        call_service(in, link_of(in, group, false),
                     platform::write_row(row, expected), store_limit,
                     [&it = in, g = group](const http::exchange_result& got)
                     { advance(it, g, as_written(got)); });
    }

    void operator()(const takeover::write_claim& a) const
    {
        write(group.value, takeover::encode(a.row), a.expected_version);
    }

    void operator()(const takeover::write_vote& a) const
    {
        write(vote_prefix(group) + in.settings.name.value,
              takeover::encode(a.row), std::nullopt);
    }

    void operator()(const takeover::ask_member& a) const
    {
        const auto about = find_registration(in, group, a.server);
        if (!about)
            return advance(in, group,
                           takeover::member_answered{a.server, std::nullopt});
        ask_member(in, *about, a.pause_replication_at, question_limit,
                   [&it = in, g = group, server = a.server](
                       std::optional<takeover::member_report> r) {
                       advance(it, g, takeover::member_answered{server, r});
                   });
    }

    void operator()(const takeover::order_promotion& a) const
    {
        call_service(
            in, link_of(in, group, true),
            platform::promote({group, a.server, in.settings.name, a.token}),
            promotion_limit,
            [&it = in, g = group](const http::exchange_result& got)
            { advance(it, g, as_ordered(got)); });
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

void look_at_groups(app& it)
{
    for (auto& [group, view] : view_groups(it))
        advance(it, group, takeover::group_view_updated{std::move(view)});
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

void watch_primaries(app& it)
{
    detail::look_again(it, std::make_shared<core::timer>(it.io));
}

}  // namespace godwitbarrow::proxy::pooled
