#include "peers.hpp"

#include "group_runner.hpp"
#include "membership_runner.hpp"
#include "messages_in.hpp"

namespace godwitbarrow::proxy
{
namespace detail
{
namespace
{

std::optional<core::endpoint> endpoint_of(app& it, const core::host_id& host)
{
    const auto settings = current_settings(it);
    if (!settings)
        return std::nullopt;
    const auto n = settings->hosts.find(host);
    if (n == settings->hosts.end())
        return std::nullopt;
    return core::endpoint{n->second.address, n->second.peer_port};
}

// Takes the requests that were handed to a host whose link is lost.
std::vector<forwarded_request> take_forwarded(app& it,
                                              const core::host_id& host)
{
    std::vector<forwarded_request> taken;
    std::lock_guard lock(it.peers.mutex);
    auto& all = it.peers.forwarded;
    for (auto n = all.begin(); n != all.end();)
    {
        if (n->second.to != host)
        {
            ++n;
            continue;
        }
        taken.push_back(std::move(n->second));
        n = all.erase(n);
    }
    return taken;
}

void on_closed(app& it, const core::host_id& host, const peer::link_ptr& link)
{
    {
        std::lock_guard lock(it.peers.mutex);
        const auto n = it.peers.links.find(host);
        if (n == it.peers.links.end() || n->second.link != link)
            return;
        it.peers.links.erase(n);
    }
    post(it, membership::link_changed{host, false});
    for (const auto& n : take_forwarded(it, host))
        n.handler(std::nullopt);
}

served unreachable(const core::host_id& host)
{
    return core::outcome(core::not_run{
        {core::error_kind::owner_unreachable,
         "host " + host.value +
             " did not accept the request; repeat it after the pause"},
        std::chrono::milliseconds(100)});
}

void on_connect_failed(app& it, const core::host_id& host)
{
    {
        std::lock_guard lock(it.peers.mutex);
        it.peers.links.erase(host);
    }
    post(it, membership::link_changed{host, false});
    for (const auto& n : take_forwarded(it, host))
        n.handler(unreachable(host));
}

void on_connected(app& it, const core::host_id& host,
                  const peer::link_ptr& link)
{
    peer::send(link, peer::hello{it.self, it.incarnation});
    {
        std::lock_guard lock(it.peers.mutex);
        auto& slot = it.peers.links[host];
        slot.link = link;
        slot.connecting = false;
        for (const auto& n : slot.waiting)
            peer::send(link, n);
        slot.waiting.clear();
    }
    post(it, membership::link_changed{host, true});
}

void open_link(app& it, const core::host_id& host, const core::endpoint& to)
{
    peer::connect(
        it.io.get_executor(), to,
        [&it, host](const core::result<peer::link_ptr>& link)
        {
            if (ok(link))
                on_connected(it, host, std::get<peer::link_ptr>(link));
            else
                on_connect_failed(it, host);
        },
        [&it, host](const peer::link_ptr& link, peer::message what)
        { on_message(it, host, link, std::move(what)); },
        [&it, host](const peer::link_ptr& link, const core::error&)
        { on_closed(it, host, link); });
}

// The first message of an accepted link names the other host.
void on_accepted_message(app& it, const peer::link_ptr& link,
                         peer::message what)
{
    core::host_id from;
    {
        std::lock_guard lock(it.peers.mutex);
        if (const auto* n = std::get_if<peer::hello>(&what))
        {
            it.peers.accepted[link] = n->host;
            return;
        }
        from = it.peers.accepted[link];
    }
    on_message(it, from, link, std::move(what));
}

}  // namespace
}  // namespace detail

core::result<std::monostate> listen_to_peers(app& it, const core::endpoint& at)
{
    auto listener = peer::listen(
        it.io.get_executor(), at,
        [&it](const peer::link_ptr& link, peer::message what)
        { detail::on_accepted_message(it, link, std::move(what)); },
        [&it](const peer::link_ptr& link, const core::error&)
        {
            std::lock_guard lock(it.peers.mutex);
            it.peers.accepted.erase(link);
        });
    if (!ok(listener))
        return std::get<core::error>(listener);
    it.peer_listener = std::get<peer::listener_ptr>(listener);
    return std::monostate();
}

void send_to(app& it, const core::host_id& host, const peer::message& what)
{
    const auto to = detail::endpoint_of(it, host);
    if (!to)
        return;
    {
        std::lock_guard lock(it.peers.mutex);
        auto& slot = it.peers.links[host];
        if (slot.link)
            return peer::send(slot.link, what);
        slot.waiting.push_back(what);
        if (slot.connecting)
            return;
        slot.connecting = true;
    }
    detail::open_link(it, host, *to);
}

void forward(app& it, const core::host_id& to, const core::server_id& server,
             const core::request& what,
             std::function<void(std::optional<served>)> handler)
{
    if (!detail::endpoint_of(it, to))
        return handler(detail::unreachable(to));
    {
        std::lock_guard lock(it.peers.mutex);
        it.peers.forwarded[what.id] = {to, std::move(handler)};
    }
    send_to(it, to, peer::execute{what, server, {}});
}

bool forget_forwarded(app& it, const core::request_id& id)
{
    std::lock_guard lock(it.peers.mutex);
    return it.peers.forwarded.erase(id) > 0;
}

void probe_host(app& it, const core::host_id& host,
                const std::function<void(bool)>& handler)
{
    const auto to = detail::endpoint_of(it, host);
    if (!to)
        return handler(false);
    peer::connect(
        it.io.get_executor(), *to,
        [handler](const core::result<peer::link_ptr>& link)
        {
            if (ok(link))
                peer::close(std::get<peer::link_ptr>(link));
            handler(ok(link));
        },
        [](const peer::link_ptr&, const peer::message&) {},
        [](const peer::link_ptr&, const core::error&) {});
}

void request_settings_from_seeds(app& it)
{
    std::vector<core::endpoint> seeds;
    {
        std::lock_guard lock(it.settings.mutex);
        seeds = it.settings.seeds;
    }
    for (const auto& n : seeds)
        peer::connect(
            it.io.get_executor(), n,
            [&it](const core::result<peer::link_ptr>& link)
            {
                if (!ok(link))
                    return;
                const auto to = std::get<peer::link_ptr>(link);
                peer::send(to, peer::hello{it.self, it.incarnation});
                peer::send(to, peer::settings_request{0});
            },
            [&it](const peer::link_ptr& link, peer::message what)
            { on_message(it, {}, link, std::move(what)); },
            [](const peer::link_ptr&, const core::error&) {});
}

}  // namespace godwitbarrow::proxy
