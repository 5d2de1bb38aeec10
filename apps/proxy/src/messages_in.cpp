#include "messages_in.hpp"

#include "group_runner.hpp"
#include "membership_runner.hpp"
#include "observer.hpp"
#include "settings_runner.hpp"

namespace godwitbarrow::proxy
{
namespace detail
{
namespace
{

struct source
{
    app& it;
    const core::host_id& from;
    const peer::link_ptr& link;
};

peer::answer to_answer(const core::request_id& id, const served& result)
{
    peer::answer it;
    it.id = id;
    if (const auto* n = std::get_if<core::outcome>(&result))
        it.result = *n;
    else
    {
        const auto& n_redirect = std::get<serving::redirect>(result);
        it.result = peer::redirected{n_redirect.reason, n_redirect.primary,
                                     n_redirect.term};
    }
    return it;
}

served to_served(peer::answer what)
{
    if (auto* n = std::get_if<core::outcome>(&what.result))
        return std::move(*n);
    auto& n = std::get<peer::redirected>(what.result);
    return serving::redirect{what.id, std::move(n.reason), std::move(n.primary),
                             n.term};
}

void receive(const source&, const peer::hello&) {}

void receive(const source& at, const peer::execute& what)
{
    const auto group = find_group(at.it, what.request.group);
    const auto id = what.request.id;
    if (!group)
    {
        peer::send(
            at.link,
            to_answer(
                id,
                core::outcome(core::not_run{
                    {core::error_kind::unknown_group,
                     "the settings of the server owner do not have group " +
                         what.request.group.value + " yet; repeat the request"},
                    std::chrono::milliseconds(100)})));
        return;
    }
    serve(at.it, group, what.server, what.request,
          [link = at.link, id](const served& result)
          { peer::send(link, to_answer(id, result)); });
}

void receive(const source& at, peer::answer what)
{
    std::function<void(std::optional<served>)> handler;
    {
        std::lock_guard lock(at.it.peers.mutex);
        const auto n = at.it.peers.forwarded.find(what.id);
        if (n == at.it.peers.forwarded.end())
            return;
        handler = std::move(n->second.handler);
        at.it.peers.forwarded.erase(n);
    }
    handler(to_served(std::move(what)));
}

void receive(const source& at, const membership::summary& what)
{
    post(at.it, membership::summary_received{at.from, what});
}

void receive(const source& at, const membership::news_request& what)
{
    post(at.it, membership::request_received{at.from, what});
}

void receive(const source& at, const membership::news& what)
{
    post(at.it, membership::news_received{at.from, what});
}

void receive(const source& at, const peer::settings_request&)
{
    send_whole_settings(at.it, at.link);
}

void receive(const source& at, const peer::settings_delta& what)
{
    receive_whole_settings(at.it, what);
}

void receive(const source& at, const peer::observe& what)
{
    observe_server(
        at.it, what.server,
        [&it = at.it, link = at.link, what](
            bool reachable, const std::optional<core::member_status>& status)
        {
            peer::send(link, peer::observation{what.round, it.self, what.group,
                                               what.server, reachable, status});
        });
}

void receive(const source& at, const peer::observation& what)
{
    if (const auto group = find_group(at.it, what.group))
        post(at.it, group,
             failover::event(failover::observation_received{
                 what.round, what.observer, what.server, what.reachable,
                 what.status}));
}

void receive(const source& at, const peer::suspicion& what)
{
    if (const auto group = find_group(at.it, what.group))
        post(at.it, group,
             failover::event(
                 failover::suspicion_reported{what.server, what.reporter}));
}

void receive(const source& at, const peer::probe& what)
{
    if (what.target)
        post(at.it, membership::probe_requested{at.from, *what.target});
}

void receive(const source& at, const peer::probe_answer& what)
{
    if (what.target)
        post(at.it,
             membership::probe_answered{at.from, *what.target, what.reachable});
}

/// Only hosts of the mode pooler send payloads.
void receive(const source&, const peer::payload&) {}

}  // namespace
}  // namespace detail

void on_message(app& it, const core::host_id& from, const peer::link_ptr& link,
                peer::message what)
{
    std::visit(
        [&](auto& n) {
            detail::receive({it, from, link}, std::move(n));
        },
        what);
}

}  // namespace godwitbarrow::proxy
