#include "poller.hpp"

#include <algorithm>

#include "group_runner.hpp"
#include "membership_runner.hpp"
#include "views.hpp"

namespace godwitbarrow::proxy
{

/// One control connection. Its calls follow each other, so that only one
/// worker uses it at a time; `active` is guarded by the connection table.
/// A poller that is no longer needed goes on until it reaches the server, so
/// that a report of lost contact does not outlive the loss.
struct poller
{
    poller(app& a, group_ptr g, core::server_id s)
        : it(a),
          group(std::move(g)),
          server(std::move(s)),
          pause(a.io.get_executor())
    {
    }

    app& it;
    group_ptr group;
    core::server_id server;
    bool active = true;
    backend::connection_ptr connection;
    core::log_number seen = 0;
    core::timer pause;
};

namespace detail
{
namespace
{

constexpr std::chrono::milliseconds open_timeout{500};
/// A member answers at the latest after this time without a change. Polls of
/// idle groups at 250 ms took 12 KB/s of a host's 7 KB/s for control.
constexpr std::chrono::milliseconds active_wait{250};
constexpr std::chrono::milliseconds idle_wait{1000};
/// Silence beyond the wait that counts as a missed status.
constexpr std::chrono::milliseconds poll_grace{550};
constexpr std::chrono::milliseconds retry_pause{100};

using poller_ptr = std::shared_ptr<poller>;

void connect(const poller_ptr& p);
void poll(const poller_ptr& p);

void mark_reachable(app& it, const core::server_id& server, bool reachable)
{
    membership::servers_unreachable event;
    {
        std::lock_guard lock(it.hosts.mutex);
        auto& known = it.hosts.unreachable;
        const bool changed =
            reachable ? known.erase(server) > 0 : known.insert(server).second;
        if (!changed)
            return;
        event.servers.assign(known.begin(), known.end());
    }
    post(it, event);
}

void forget(const poller_ptr& p)
{
    std::lock_guard lock(p->it.connections.mutex);
    const auto n = p->it.connections.pollers.find(p->server);
    if (n != p->it.connections.pollers.end() && n->second == p)
        p->it.connections.pollers.erase(n);
}

// Writes that wait for a majority need the statuses also after the ownership
// has moved to another host.
bool has_requests(group_entry& group)
{
    std::lock_guard lock(group.mutex);
    return !group.serving.requests.empty() ||
           !group.serving.transactions.empty();
}

bool stop_if_unneeded(const poller_ptr& p)
{
    if (has_requests(*p->group))
        return false;
    std::lock_guard lock(p->it.connections.mutex);
    if (p->active)
        return false;
    p->it.connections.pollers.erase(p->server);
    return true;
}

void on_missed(const poller_ptr& p)
{
    post(p->it, p->group, serving::event(serving::status_missed{p->server}));
    post(p->it, p->group, failover::event(failover::status_missed{p->server}));
    mark_reachable(p->it, p->server, false);
    if (p->connection)
        backend::close(p->connection);
    p->connection.reset();
    p->pause.expires_after(retry_pause);
    p->pause.async_wait([p](boost::system::error_code) { connect(p); });
}

// A primary of a newer term is learned from its own status, as its promotion
// may not be published yet.
void learn_from(const poller_ptr& p, const core::member_status& status)
{
    if (status.role != core::member_role::primary)
        return;
    {
        std::lock_guard lock(p->group->mutex);
        const auto& view = p->group->serving.view;
        if (status.term < view.term ||
            (status.term == view.term && view.primary))
            return;
    }
    learn_view(p->it, p->group, status.term, p->server);
    announce_view(p->it, p->group->id, status.term, p->server);
}

void on_status(const poller_ptr& p, const core::member_status& status,
               core::time_point requested_at)
{
    p->seen = status.position;
    learn_from(p, status);
    post(p->it, p->group,
         serving::event(
             serving::status_received{p->server, status, requested_at}));
    post(p->it, p->group,
         failover::event(
             failover::status_received{p->server, status, requested_at}));
    mark_reachable(p->it, p->server, true);
    poll(p);
}

std::chrono::milliseconds poll_wait(const poller_ptr& p, core::time_point now)
{
    std::lock_guard lock(p->group->mutex);
    return now < p->group->active_until ? active_wait : idle_wait;
}

void poll(const poller_ptr& p)
{
    if (stop_if_unneeded(p))
        return backend::close(p->connection);
    const auto requested_at = core::runtime_clock::now();
    const auto wait = poll_wait(p, requested_at);
    post(p->it, p->group,
         failover::event(failover::status_requested{p->server, wait}));
    backend::read_status(
        p->connection, p->seen, wait, wait + poll_grace,
        [p, requested_at](const core::result<core::member_status>& status)
        {
            if (ok(status))
                on_status(p, std::get<core::member_status>(status),
                          requested_at);
            else
                on_missed(p);
        });
}

void connect(const poller_ptr& p)
{
    const auto settings = current_settings(p->it);
    const auto n = settings->backend_servers.find(p->server);
    if (n == settings->backend_servers.end())
        return forget(p);
    backend::open_connection(
        p->it.io.get_executor(), n->second.address, open_timeout,
        [p](const core::result<backend::connection_ptr>& opened)
        {
            if (!ok(opened))
                return on_missed(p);
            p->connection = std::get<backend::connection_ptr>(opened);
            mark_reachable(p->it, p->server, true);
            poll(p);
        });
}

}  // namespace
}  // namespace detail

void set_polling(app& it, const group_ptr& group, const core::server_id& server,
                 bool active)
{
    std::shared_ptr<poller> started;
    {
        std::lock_guard lock(it.connections.mutex);
        const auto n = it.connections.pollers.find(server);
        if (n != it.connections.pollers.end())
            n->second->active = active;
        else if (active)
            started = it.connections.pollers[server] =
                std::make_shared<poller>(it, group, server);
    }
    if (started)
        detail::connect(started);
}

}  // namespace godwitbarrow::proxy
