#include "godwitbarrow/membership/decide.hpp"

#include <utility>
#include <variant>

#include "detail.hpp"

namespace godwitbarrow::membership
{
namespace
{

using detail::step;

void apply(step& at, const host_list_read& what)
{
    detail::take_list(at, what);
}

void apply(step& at, const summary_received& what)
{
    detail::take_summary(at, what.from, what.content);
}

void apply(step& at, const request_received& what)
{
    detail::heard_from(at, what.from);
    detail::answer_request(at, what.from, what.content);
}

void apply(step& at, const news_received& what)
{
    detail::heard_from(at, what.from);
    const bool catch_up =
        detail::count_items(what.content) > at.it.bounds.pushed_items;
    news kept;
    if (catch_up)
        std::swap(kept, at.it.outbox);
    for (const auto& delta : what.content.settings)
        detail::take_settings(at, delta);
    for (const auto& delta : what.content.hosts)
        detail::take_delta(at, delta);
    for (const auto& chunk : what.content.chunks)
        detail::take_chunk(at, what.from, chunk);
    for (const auto& view : what.content.views)
        if (detail::take_view(at.it, view))
            at.out.push_back(apply_view{view});
    for (const auto& report : what.content.reports)
        detail::take_report(at, report);
    const bool something_new = detail::count_items(at.it.outbox) != 0;
    if (catch_up)
        at.it.outbox = std::move(kept);
    // A message that is nearly full may have left something out.
    if (something_new && size_of(what.content) > at.it.bounds.largest_news / 2)
        detail::request_news(at, what.from);
}

void apply(step& at, const probe_requested& what)
{
    detail::heard_from(at, what.from);
    at.out.push_back(probe_host{what.target, what.from});
}

void apply(step& at, const probe_answered& what)
{
    detail::take_probe(at, what);
}

void apply(step& at, const link_changed& what)
{
    detail::take_link(at, what);
}

void apply(step& at, const settings_accepted& what)
{
    detail::accept_settings(at, what.content);
}

void apply(step& at, const view_published& what)
{
    detail::take_view(at.it, what.content);
}

void apply(step& at, const servers_unreachable& what)
{
    auto own = at.it.reports[at.it.self.host];
    if (own.unreachable == what.servers)
        return;
    own.unreachable = what.servers;
    detail::publish_report(at, std::move(own));
}

void apply(step& at, const leave_started&)
{
    if (std::exchange(at.it.leaving, true))
        return;
    auto own = at.it.reports[at.it.self.host];
    own.leaving = true;
    detail::publish_report(at, std::move(own));
}

void apply(step& at, const tick&)
{
    detail::read_list_if_due(at);
    detail::begin_round_if_due(at);
    detail::review_peers(at);
}

}  // namespace

std::vector<action> decide(state& it, const event& what, core::time_point now)
{
    std::vector<action> out;
    // Peers may connect while this host is still starting.
    if (it.self.host.value.empty())
        return out;
    step at{it, now, out};
    std::visit([&](const auto& e) { apply(at, e); }, what);
    detail::push_news(at);
    detail::announce_hosts(at);
    return out;
}

state make_state(const host_entry& self, const std::vector<host_entry>& seeds,
                 core::time_point now)
{
    state it;
    it.self = self;
    detail::fill_directory(it, seeds);
    it.next_round = now;
    it.next_host_list = now;
    it.next_push = now;
    it.next_announcement = now;
    std::vector<action> ignored;
    step at{it, now, ignored};
    detail::publish_report(at, {});
    return it;
}

}  // namespace godwitbarrow::membership
