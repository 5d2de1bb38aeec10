#include <algorithm>
#include <utility>

#include "internal.hpp"

namespace godwitbarrow::serving::detail
{
namespace
{

using admission::connection_phase;

/// Whether the server accepts requests beyond those of its open transactions.
bool accepts_new_work(const group_state& state, const core::server_id& server)
{
    const auto member = state.members.find(server);
    return state.servers.at(server).owned && member != state.members.end() &&
           !member->second.leaving;
}

/// Number of queued requests that could be sent now on a new connection.
std::size_t connection_demand(const server_state& backend)
{
    const auto running = admission::running_count(backend.queue);
    const auto free =
        backend.queue.slots > running ? backend.queue.slots - running : 0;
    std::size_t waiting = 0;
    for (const auto& entries : backend.queue.waiting)
        for (const auto& entry : entries)
        {
            if (waiting >= free)
                return free;
            if (entry.need != admission::connection_need::held)
                ++waiting;
        }
    return waiting;
}

void open_new_connection(context& ctx, const core::server_id& server,
                         server_state& backend)
{
    const auto number = ctx.state.next_connection++;
    admission::connection_state connection;
    connection.phase_started_at = ctx.now;
    connection.open_started_at = ctx.now;
    backend.pool.connections.emplace(number, connection);
    ctx.out.emplace_back(open_connection{server, number});
}

void record_failed_open(context& ctx, const core::server_id& server,
                        server_state& backend)
{
    const auto& settings = ctx.state.settings.retry;
    ++backend.pool.consecutive_open_failures;
    backend.pool.open_backoff_until =
        ctx.now + settings.initial_backoff +
        admission::backoff_delay(settings,
                                 backend.pool.consecutive_open_failures,
                                 next_fraction(ctx.state.random));
    ctx.out.emplace_back(report_suspicion{server});
}

/// Redirects the reads queued for a server that has no connections.
void redirect_queued_reads(context& ctx, const core::server_id& server)
{
    std::vector<core::request_id> ids;
    for (const auto& [id, tracked] : ctx.state.requests)
        if (tracked.server == server &&
            tracked.phase == request_phase::queued &&
            tracked.request.access == core::access_mode::read &&
            !tracked.possibly_ran)
            ids.push_back(id);
    for (const auto& id : ids)
        finish_redirect(ctx, id,
                        {core::error_kind::no_connection,
                         "server " + server.value +
                             " accepts no connection; use another member"});
}

/// Closes the connections that have timed out. An unanswered probe also marks
/// the connections opened before it as suspected.
void close_expired(context& ctx, const core::server_id& server,
                   server_state& backend)
{
    const auto& settings = ctx.state.settings.pool;
    bool open_failed = false;
    for (const auto number :
         admission::connections_to_close(backend.pool, settings, ctx.now))
    {
        const auto connection = backend.pool.connections.at(number);
        open_failed |= connection.phase == connection_phase::opening;
        if (connection.phase == connection_phase::probing)
            record_silence(ctx, server, connection.phase_started_at);
        drop_connection(ctx, server, number);
    }
    if (open_failed)
        record_failed_open(ctx, server, backend);
}

void probe_stale(context& ctx, const core::server_id& server,
                 server_state& backend)
{
    const auto& settings = ctx.state.settings.pool;
    for (const auto number :
         admission::connections_to_probe(backend.pool, settings, ctx.now))
    {
        auto& connection = backend.pool.connections.at(number);
        connection.phase = connection_phase::probing;
        connection.phase_started_at = ctx.now;
        ctx.out.emplace_back(probe_connection{server, number});
    }
}

/// Closes suspected connections to make room for new ones when the connection
/// limit is reached.
void close_suspected(context& ctx, const core::server_id& server,
                     server_state& backend, std::size_t demand)
{
    const auto limit =
        admission::usable_limit(backend.pool, ctx.state.settings.pool);
    std::vector<connection_number> suspected_connections;
    for (const auto& [number, connection] : backend.pool.connections)
        if (connection.phase == connection_phase::probing &&
            admission::is_suspect(backend.pool, connection))
            suspected_connections.push_back(number);
    for (const auto number : suspected_connections)
    {
        if (demand == 0 || backend.pool.connections.size() < limit)
            return;
        drop_connection(ctx, server, number);
        --demand;
    }
}

void close_unused(context& ctx, const core::server_id& server,
                  server_state& backend)
{
    std::vector<connection_number> idle;
    for (const auto& [number, connection] : backend.pool.connections)
        if (connection.phase != connection_phase::busy)
            idle.push_back(number);
    for (const auto number : idle)
        drop_connection(ctx, server, number);
}

void maintain_server(context& ctx, const core::server_id& server)
{
    auto& backend = ctx.state.servers.at(server);
    const auto& settings = ctx.state.settings.pool;
    if (backend.pool.open_backoff_until &&
        ctx.now >= *backend.pool.open_backoff_until)
        backend.pool.open_backoff_until.reset();
    if (!accepts_new_work(ctx.state, server))
        return close_unused(ctx, server, backend);
    close_expired(ctx, server, backend);
    probe_stale(ctx, server, backend);
    const auto demand = connection_demand(backend);
    close_suspected(ctx, server, backend, demand);
    const auto missing =
        admission::connections_to_open(backend.pool, settings, demand, ctx.now);
    for (std::size_t n = 0; n < missing; ++n)
        open_new_connection(ctx, server, backend);
}

bool in_use(const group_state& state, const core::server_id& server)
{
    const auto& backend = state.servers.at(server);
    if (backend.owned || !backend.pool.connections.empty())
        return true;
    return std::any_of(state.requests.begin(), state.requests.end(),
                       [&](const auto& r)
                       { return r.second.server == server; });
}

}  // namespace

void record_silence(context& ctx, const core::server_id& server,
                    core::time_point since)
{
    auto& noticed = ctx.state.servers.at(server).pool.silence_detected_at;
    noticed = noticed ? std::max(*noticed, since) : since;
}

void drop_connection(context& ctx, const core::server_id& server,
                     connection_number connection)
{
    if (ctx.state.servers.at(server).pool.connections.erase(connection) != 0)
        ctx.out.emplace_back(close_connection{server, connection});
}

void release_connection(context& ctx, const core::server_id& server,
                        connection_number connection)
{
    auto& open = ctx.state.servers.at(server).pool.connections;
    const auto found = open.find(connection);
    if (found == open.end())
        return;
    auto& released = found->second;
    released.phase = connection_phase::idle;
    released.phase_started_at = ctx.now;
    released.last_used_at = ctx.now;
    released.verified_at = ctx.now;
}

void on_opened(context& ctx, const connection_opened& event)
{
    const auto server = ctx.state.servers.find(event.server);
    const bool known =
        server != ctx.state.servers.end() &&
        server->second.pool.connections.count(event.connection) != 0;
    if (!known)
    {
        ctx.out.emplace_back(close_connection{event.server, event.connection});
        return;
    }
    auto& pool = server->second.pool;
    auto& connection = pool.connections.at(event.connection);
    if (connection.phase == connection_phase::opening)
    {
        connection.last_used_at = ctx.now;
        pool.consecutive_open_failures = 0;
    }
    else if (connection.phase != connection_phase::probing)
        return;
    connection.phase = connection_phase::idle;
    connection.phase_started_at = ctx.now;
    connection.verified_at = ctx.now;
}

void on_closed(context& ctx, const connection_closed& event)
{
    const auto server = ctx.state.servers.find(event.server);
    if (server == ctx.state.servers.end())
        return;
    auto& pool = server->second.pool;
    const auto found = pool.connections.find(event.connection);
    if (found == pool.connections.end())
        return;
    const auto phase = found->second.phase;
    if (phase == connection_phase::busy)
    {
        for (const auto& [id, transaction] : ctx.state.transactions)
            if (transaction.server == event.server &&
                transaction.connection == event.connection)
                return abort_transaction(ctx, core::transaction_id(id),
                                         "its connection was closed");
        for (const auto& [dispatch, id] : ctx.state.dispatches)
            if (ctx.state.requests.at(id).connection == event.connection)
                return fail_dispatch(ctx, core::request_id(id), true,
                                     "it was closed");
    }
    pool.connections.erase(event.connection);
    if (phase != connection_phase::opening)
        return;
    record_failed_open(ctx, event.server, server->second);
    if (pool.connections.empty())
        redirect_queued_reads(ctx, event.server);
}

void maintain_connections(context& ctx)
{
    std::vector<core::server_id> servers;
    for (const auto& [server, backend] : ctx.state.servers)
        servers.push_back(server);
    for (const auto& server : servers)
    {
        maintain_server(ctx, server);
        if (!in_use(ctx.state, server))
            ctx.state.servers.erase(server);
    }
}

}  // namespace godwitbarrow::serving::detail
