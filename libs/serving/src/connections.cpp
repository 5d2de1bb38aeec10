#include <algorithm>
#include <utility>

#include "internal.hpp"

namespace godwitbarrow::serving::detail
{
namespace
{

using admission::connection_phase;

/// Whether the server may get work beyond its running transactions.
bool takes_new_work(const group_state& state, const core::server_id& server)
{
    const auto member = state.members.find(server);
    return state.servers.at(server).owned && member != state.members.end() &&
           !member->second.leaving;
}

/// Waiting requests that a new connection would help now.
std::size_t connection_demand(const server_state& it)
{
    const auto running = admission::running_count(it.queue);
    const auto free = it.queue.slots > running ? it.queue.slots - running : 0;
    std::size_t waiting = 0;
    for (const auto& entries : it.queue.waiting)
        for (const auto& entry : entries)
        {
            if (waiting >= free)
                return free;
            if (entry.need != admission::connection_need::held)
                ++waiting;
        }
    return waiting;
}

void open(context& ctx, const core::server_id& server, server_state& it)
{
    const auto number = ctx.state.next_connection++;
    admission::connection_state connection;
    connection.phase_started_at = ctx.now;
    connection.open_started_at = ctx.now;
    it.pool.connections.emplace(number, connection);
    ctx.out.emplace_back(open_connection{server, number});
}

void note_failed_open(context& ctx, const core::server_id& server,
                      server_state& it)
{
    const auto& settings = ctx.state.settings.retry;
    ++it.pool.consecutive_open_failures;
    it.pool.open_backoff_until =
        ctx.now + settings.initial_backoff +
        admission::backoff_delay(settings, it.pool.consecutive_open_failures,
                                 next_fraction(ctx.state.random));
    ctx.out.emplace_back(report_suspicion{server});
}

/// Reads that wait for a server without connections go elsewhere.
void redirect_reads(context& ctx, const core::server_id& server)
{
    std::vector<core::request_id> ids;
    for (const auto& [id, it] : ctx.state.requests)
        if (it.server == server && it.phase == request_phase::queued &&
            it.request.access == core::access_mode::read && !it.possibly_ran)
            ids.push_back(id);
    for (const auto& id : ids)
        finish_redirect(ctx, id,
                        {core::error_kind::no_connection,
                         "server " + server.value +
                             " accepts no connection; use another member"});
}

/// Removes what has timed out; a silent probe also casts doubt on the
/// connections opened before it.
void close_expired(context& ctx, const core::server_id& server,
                   server_state& it)
{
    const auto& settings = ctx.state.settings.pool;
    bool open_failed = false;
    for (const auto number :
         admission::connections_to_close(it.pool, settings, ctx.now))
    {
        const auto connection = it.pool.connections.at(number);
        open_failed |= connection.phase == connection_phase::opening;
        if (connection.phase == connection_phase::probing)
            note_silence(ctx, server, connection.phase_started_at);
        drop_connection(ctx, server, number);
    }
    if (open_failed)
        note_failed_open(ctx, server, it);
}

void probe_stale(context& ctx, const core::server_id& server, server_state& it)
{
    const auto& settings = ctx.state.settings.pool;
    for (const auto number :
         admission::connections_to_probe(it.pool, settings, ctx.now))
    {
        auto& connection = it.pool.connections.at(number);
        connection.phase = connection_phase::probing;
        connection.phase_started_at = ctx.now;
        ctx.out.emplace_back(probe_connection{server, number});
    }
}

/// Doubtful connections give way to new ones when the limit is reached.
void make_room(context& ctx, const core::server_id& server, server_state& it,
               std::size_t demand)
{
    const auto limit =
        admission::usable_limit(it.pool, ctx.state.settings.pool);
    std::vector<connection_number> doubtful;
    for (const auto& [number, connection] : it.pool.connections)
        if (connection.phase == connection_phase::probing &&
            admission::is_suspect(it.pool, connection))
            doubtful.push_back(number);
    for (const auto number : doubtful)
    {
        if (demand == 0 || it.pool.connections.size() < limit)
            return;
        drop_connection(ctx, server, number);
        --demand;
    }
}

void close_idle(context& ctx, const core::server_id& server, server_state& it)
{
    std::vector<connection_number> idle;
    for (const auto& [number, connection] : it.pool.connections)
        if (connection.phase != connection_phase::busy)
            idle.push_back(number);
    for (const auto number : idle)
        drop_connection(ctx, server, number);
}

void maintain(context& ctx, const core::server_id& server)
{
    auto& it = ctx.state.servers.at(server);
    const auto& settings = ctx.state.settings.pool;
    if (it.pool.open_backoff_until && ctx.now >= *it.pool.open_backoff_until)
        it.pool.open_backoff_until.reset();
    if (!takes_new_work(ctx.state, server))
        return close_idle(ctx, server, it);
    close_expired(ctx, server, it);
    probe_stale(ctx, server, it);
    const auto demand = connection_demand(it);
    make_room(ctx, server, it, demand);
    const auto missing =
        admission::connections_to_open(it.pool, settings, demand, ctx.now);
    for (std::size_t n = 0; n < missing; ++n)
        open(ctx, server, it);
}

bool has_work(const group_state& state, const core::server_id& server)
{
    const auto& it = state.servers.at(server);
    if (it.owned || !it.pool.connections.empty())
        return true;
    return std::any_of(state.requests.begin(), state.requests.end(),
                       [&](const auto& r)
                       { return r.second.server == server; });
}

}  // namespace

void note_silence(context& ctx, const core::server_id& server,
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
    auto& it = found->second;
    it.phase = connection_phase::idle;
    it.phase_started_at = ctx.now;
    it.last_used_at = ctx.now;
    it.verified_at = ctx.now;
}

void on_opened(context& ctx, const connection_opened& it)
{
    const auto server = ctx.state.servers.find(it.server);
    const bool known =
        server != ctx.state.servers.end() &&
        server->second.pool.connections.count(it.connection) != 0;
    if (!known)
    {
        ctx.out.emplace_back(close_connection{it.server, it.connection});
        return;
    }
    auto& pool = server->second.pool;
    auto& connection = pool.connections.at(it.connection);
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

void on_closed(context& ctx, const connection_closed& it)
{
    const auto server = ctx.state.servers.find(it.server);
    if (server == ctx.state.servers.end())
        return;
    auto& pool = server->second.pool;
    const auto found = pool.connections.find(it.connection);
    if (found == pool.connections.end())
        return;
    const auto phase = found->second.phase;
    if (phase == connection_phase::busy)
    {
        for (const auto& [id, transaction] : ctx.state.transactions)
            if (transaction.server == it.server &&
                transaction.connection == it.connection)
                return lose_transaction(ctx, core::transaction_id(id),
                                        "its connection was closed");
        for (const auto& [dispatch, id] : ctx.state.dispatches)
            if (ctx.state.requests.at(id).connection == it.connection)
                return fail_dispatch(ctx, core::request_id(id), true,
                                     "it was closed");
    }
    pool.connections.erase(it.connection);
    if (phase != connection_phase::opening)
        return;
    note_failed_open(ctx, it.server, server->second);
    if (pool.connections.empty())
        redirect_reads(ctx, it.server);
}

void maintain_connections(context& ctx)
{
    std::vector<core::server_id> servers;
    for (const auto& [server, it] : ctx.state.servers)
        servers.push_back(server);
    for (const auto& server : servers)
    {
        maintain(ctx, server);
        if (!has_work(ctx.state, server))
            ctx.state.servers.erase(server);
    }
}

}  // namespace godwitbarrow::serving::detail
