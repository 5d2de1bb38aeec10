#include "mesh.hpp"

#include <mutex>
#include <random>

#include "godwitbarrow/telemetry/log.hpp"
#include "store_link.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

constexpr std::chrono::milliseconds connect_timeout{800};
constexpr std::chrono::milliseconds retry_pause{300};
/// From the start of a connection to the hello of the other host.
constexpr std::chrono::milliseconds hello_timeout{2000};
/// Of a machine that no longer acknowledges what is sent to it.
constexpr std::chrono::milliseconds silence_limit{3000};

void open_wanted(app& it);

void report_link(app& it, const core::host_id& peer, bool open)
{
    telemetry::log_event(telemetry::log_level::info,
                         open ? "host connected" : "host disconnected",
                         {{"peer", peer}});
    for (const auto& handler : it.mesh.link_handlers)
        handler(peer, open);
}

/// Forgets the links of the host and returns them.
std::vector<peer::link_ptr> forget_links(app& it, const core::host_id& peer)
{
    std::vector<peer::link_ptr> out;
    for (auto n = it.mesh.names.begin(); n != it.mesh.names.end();)
    {
        if (n->second != peer)
        {
            ++n;
            continue;
        }
        out.push_back(n->first);
        n = it.mesh.names.erase(n);
    }
    return out;
}

/// Records the sender of a hello. Returns whether it had no open link before,
/// and in `replaced` the link of an earlier start of it.
bool register_link(app& it, const peer::link_ptr& link, const peer::hello& from,
                   peer::link_ptr& replaced)
{
    std::lock_guard lock(it.mesh.mutex);
    auto& p = it.mesh.peers[from.host];
    p.connecting = false;
    p.greeted.reset();
    const bool known = p.link && p.incarnation == from.incarnation;
    if (!known)
        forget_links(it, from.host);
    it.mesh.names[link] = from.host;
    if (known)
        return false;
    replaced = std::exchange(p.link, link);
    p.incarnation = from.incarnation;
    p.retry_at.reset();
    p.sent.clear();
    return true;
}

std::optional<core::host_id> name_of(app& it, const peer::link_ptr& link)
{
    std::lock_guard lock(it.mesh.mutex);
    const auto n = it.mesh.names.find(link);
    if (n == it.mesh.names.end())
        return std::nullopt;
    return n->second;
}

void take_hello(app& it, const peer::link_ptr& link, const peer::hello& from)
{
    peer::link_ptr replaced;
    if (!register_link(it, link, from, replaced))
        return;
    if (replaced)
    {
        peer::close(replaced);
        report_link(it, from.host, false);
    }
    report_link(it, from.host, true);
}

void take_message(app& it, const peer::link_ptr& link,
                  const peer::message& what)
{
    if (const auto* from = std::get_if<peer::hello>(&what))
        return take_hello(it, link, *from);
    const auto* body = std::get_if<peer::payload>(&what);
    const auto from = name_of(it, link);
    if (!body || !from)
        return;
    const auto handler = it.mesh.message_handlers.find(body->about);
    if (handler != it.mesh.message_handlers.end())
        handler->second(*from, body->bytes);
}

/// Lets a connection attempt that ended without a hello be made again.
void end_attempt(app& it, mesh_peer& p)
{
    p.connecting = false;
    p.greeted.reset();
    p.retry_at = core::runtime_clock::now() + retry_pause;
    after(it, retry_pause, [&it] { open_wanted(it); });
}

void lose_greeted_link(app& it, const peer::link_ptr& link)
{
    for (auto& [name, p] : it.mesh.peers)
        if (p.greeted == link)
            return end_attempt(it, p);
}

/// Two hosts that connect to each other at the same time have two links. Both
/// are closed when one breaks, so that no message is lost unnoticed.
void lose_link(app& it, const peer::link_ptr& link)
{
    std::vector<peer::link_ptr> others;
    core::host_id peer;
    {
        std::lock_guard lock(it.mesh.mutex);
        const auto n = it.mesh.names.find(link);
        if (n == it.mesh.names.end())
            return lose_greeted_link(it, link);
        peer = n->second;
        auto& p = it.mesh.peers[peer];
        others = forget_links(it, peer);
        p.link.reset();
        p.retry_at = core::runtime_clock::now() + retry_pause;
    }
    for (const auto& n : others)
        if (n != link)
            peer::close(n);
    report_link(it, peer, false);
    after(it, retry_pause, [&it] { open_wanted(it); });
}

peer::message_handler message_handler_of(app& it)
{
    return [&it](const peer::link_ptr& link, const peer::message& what)
    {
        take_message(it, link, what);
    };
}

peer::closed_handler closed_handler_of(app& it)
{
    return [&it](const peer::link_ptr& link, const core::error&)
    {
        lose_link(it, link);
    };
}

void greet(app& it, const peer::link_ptr& link)
{
    peer::send(link, peer::hello{it.settings.name, it.mesh.incarnation});
}

/// Closes the link unless the other host has said who it is.
void check_hello(app& it, const core::host_id& to, const peer::link_ptr& link)
{
    std::lock_guard lock(it.mesh.mutex);
    const auto n = it.mesh.peers.find(to);
    if (n != it.mesh.peers.end() && n->second.greeted == link)
        peer::close(link);
}

void finish_connect(app& it, const core::host_id& to,
                    const core::result<peer::link_ptr>& opened)
{
    const auto* link = std::get_if<peer::link_ptr>(&opened);
    {
        std::lock_guard lock(it.mesh.mutex);
        auto& p = it.mesh.peers[to];
        if (!link)
            return end_attempt(it, p);
        p.greeted = *link;
    }
    greet(it, *link);
    after(it, hello_timeout,
          [&it, to, link = *link] { check_hello(it, to, link); });
}

/// The wanted hosts that have no link and whose pause is over; they count as
/// being connected to from now on.
std::vector<hosts::peer_host> take_due(app& it)
{
    std::vector<hosts::peer_host> out;
    const auto now = core::runtime_clock::now();
    std::lock_guard lock(it.mesh.mutex);
    for (const auto& [about, wanted] : it.mesh.wanted)
        for (const auto& host : wanted)
        {
            const auto known = it.mesh.hosts.find(host);
            auto& p = it.mesh.peers[host];
            if (known == it.mesh.hosts.end() || p.link || p.connecting ||
                (p.retry_at && *p.retry_at > now))
                continue;
            p.connecting = true;
            out.push_back(known->second);
        }
    return out;
}

peer::link_limits limits_of_links()
{
    peer::link_limits out;
    out.connect_timeout = connect_timeout;
    out.silence_limit = silence_limit;
    return out;
}

void open_wanted(app& it)
{
    const auto limits = limits_of_links();
    for (const auto& host : take_due(it))
        peer::connect(
            it.io.get_executor(), host.address,
            [&it, to = host.host](const core::result<peer::link_ptr>& opened)
            { finish_connect(it, to, opened); },
            message_handler_of(it), closed_handler_of(it), limits);
}

std::uint64_t make_incarnation()
{
    std::random_device from;
    return (std::uint64_t{from()} << 32U) | from();
}

}  // namespace
}  // namespace detail

core::result<std::monostate> start_mesh(app& it)
{
    it.mesh.incarnation = detail::make_incarnation();
    if (!it.settings.peers)
        return std::monostate{};
    auto listening = peer::listen(
        it.io.get_executor(), *it.settings.peers,
        [&it](const peer::link_ptr& link, const peer::message& what)
        {
            if (std::holds_alternative<peer::hello>(what))
                detail::greet(it, link);
            detail::take_message(it, link, what);
        },
        detail::closed_handler_of(it), detail::limits_of_links());
    if (const auto* e = std::get_if<core::error>(&listening))
        return *e;
    it.mesh.listener = std::get<peer::listener_ptr>(listening);
    return std::monostate{};
}

void set_hosts(app& it, std::vector<hosts::peer_host> all)
{
    {
        std::lock_guard lock(it.mesh.mutex);
        it.mesh.listed = true;
        it.mesh.hosts.clear();
        for (auto& host : all)
            if (host.host != it.settings.name)
                it.mesh.hosts.emplace(host.host, std::move(host));
    }
    detail::open_wanted(it);
}

bool hosts_listed(const app& it)
{
    std::lock_guard lock(it.mesh.mutex);
    return it.mesh.listed;
}

std::vector<hosts::peer_host> other_hosts(const app& it)
{
    std::vector<hosts::peer_host> out;
    std::lock_guard lock(it.mesh.mutex);
    out.reserve(it.mesh.hosts.size());
    for (const auto& [name, host] : it.mesh.hosts)
        out.push_back(host);
    return out;
}

std::optional<hosts::peer_host> find_host(const app& it,
                                          const core::host_id& host)
{
    std::lock_guard lock(it.mesh.mutex);
    const auto n = it.mesh.hosts.find(host);
    if (n == it.mesh.hosts.end())
        return std::nullopt;
    return n->second;
}

hosts::peer_host own_host(const app& it)
{
    hosts::peer_host out;
    out.host = it.settings.name;
    out.data_centre = it.settings.data_centre;
    out.region = it.settings.region;
    if (it.mesh.listener)
        out.address = peer::local_endpoint(it.mesh.listener);
    out.core_share = it.settings.core_share;
    return out;
}

void want_links(app& it, peer::topic about, std::set<core::host_id> to)
{
    {
        std::lock_guard lock(it.mesh.mutex);
        it.mesh.wanted[about] = std::move(to);
    }
    detail::open_wanted(it);
}

bool send_to_host(app& it, const core::host_id& to, peer::topic about,
                  std::string bytes)
{
    std::lock_guard lock(it.mesh.mutex);
    const auto n = it.mesh.peers.find(to);
    if (n == it.mesh.peers.end() || !n->second.link)
        return false;
    n->second.sent[about] += bytes.size();
    it.mesh.sent[about] += bytes.size();
    telemetry::count_host_bytes(*it.metrics, peer::to_string(about),
                                bytes.size());
    // Sent under the lock, so that messages keep the order of their senders.
    peer::send(n->second.link, peer::payload{about, std::move(bytes)});
    return true;
}

std::vector<link_load> list_link_loads(const app& it)
{
    std::vector<link_load> out;
    const auto now = core::runtime_clock::now();
    std::lock_guard lock(it.mesh.mutex);
    for (const auto& [name, p] : it.mesh.peers)
        if (p.link)
            out.push_back({name, peer::backlog_of(p.link, now), p.sent});
    return out;
}

std::map<peer::topic, std::uint64_t> count_sent_bytes(const app& it)
{
    std::lock_guard lock(it.mesh.mutex);
    return it.mesh.sent;
}

peer::send_backlog backlog_to(const app& it, const core::host_id& to)
{
    std::lock_guard lock(it.mesh.mutex);
    const auto n = it.mesh.peers.find(to);
    if (n == it.mesh.peers.end() || !n->second.link)
        return {};
    return peer::backlog_of(n->second.link, core::runtime_clock::now());
}

void on_host_message(app& it, peer::topic about, peer_message_handler handler)
{
    it.mesh.message_handlers[about] = std::move(handler);
}

void on_host_link(app& it, peer_link_handler handler)
{
    it.mesh.link_handlers.push_back(std::move(handler));
}

}  // namespace godwitbarrow::proxy::pooled
