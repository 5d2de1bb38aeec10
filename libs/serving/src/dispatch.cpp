#include <algorithm>
#include <utility>

#include "internal.hpp"

namespace godwitbarrow::serving::detail
{
namespace
{

/// A slow but working server must not look silent.
constexpr int service_times_per_attempt = 4;
/// Many statements take longer than the average.
constexpr int service_times_left = 2;

/// Closing its connection undoes a begin, so it can be sent again like a read
/// or a keyed write.
bool may_repeat(const core::request& it)
{
    return core::is_repeatable(it) || it.access == core::access_mode::begin;
}

core::time_point reply_limit(const context& ctx, const tracked_request& it)
{
    if (!may_repeat(it.request))
        return it.request.deadline;
    const auto& queue = ctx.state.servers.at(it.server).queue;
    const auto patience = std::max<core::duration>(
        ctx.state.settings.attempt_timeout,
        queue.service_time * service_times_per_attempt);
    return std::min(it.request.deadline, ctx.now + patience);
}

void send(context& ctx, tracked_request& it, connection_number connection)
{
    auto& state = ctx.state;
    auto& used = state.servers.at(it.server).pool.connections.at(connection);
    used.phase = admission::connection_phase::busy;
    used.phase_started_at = ctx.now;
    used.last_used_at = ctx.now;
    it.phase = request_phase::running;
    it.dispatch = state.next_dispatch++;
    it.connection = connection;
    it.sent_term = state.view.term;
    it.sent_at = ctx.now;
    it.reply_by = reply_limit(ctx, it);
    const auto member = state.members.find(it.server);
    it.fresh_at_send = member == state.members.end()
                           ? std::nullopt
                           : member->second.fresh_as_of;
    ++it.attempts;
    state.dispatches.emplace(it.dispatch, it.request.id);
    set_due(ctx, it, it.reply_by);
    ctx.out.emplace_back(send_statement{it.dispatch, connection, it.server,
                                        it.sent_term, it.request, it.reply_by});
}

std::optional<connection_number> connection_for(
    const context& ctx, const tracked_request& it,
    std::optional<connection_number> idle)
{
    if (!in_transaction(it.request.access))
        return idle;
    const auto found = ctx.state.transactions.find(*it.request.transaction);
    if (found == ctx.state.transactions.end())
        return std::nullopt;
    return found->second.connection;
}

/// Time that a write waits for a majority after its reply.
core::duration confirmation_time(const context& ctx, const core::request_id& id)
{
    const auto& request = ctx.state.requests.at(id).request;
    return core::is_write(request.access) ? ctx.state.confirmation_delay
                                          : core::duration::zero();
}

/// Sends one waiting request; false if none can be sent.
bool pump_once(context& ctx, const core::server_id& server)
{
    auto& of_server = ctx.state.servers.at(server);
    const auto& settings = ctx.state.settings;
    const auto idle =
        admission::pick_idle(of_server.pool, settings.pool, ctx.now);
    const bool begin_allowed = idle && may_begin(ctx, server);
    // Sent too late, a request would only end with an unknown outcome and a
    // closed connection. An idle server is tried all the same, so that an
    // average from a slow period is corrected.
    const bool contended = admission::running_count(of_server.queue) > 0;
    const auto needed = of_server.queue.service_time * service_times_left;
    const auto ready = [&](const admission::queue_entry& entry)
    {
        if (entry.need == admission::connection_need::held)
            return true;
        if (contended && ctx.now + needed + confirmation_time(ctx, entry.id) >
                             entry.deadline)
            return false;
        return entry.need == admission::connection_need::shared
                   ? idle.has_value()
                   : begin_allowed;
    };
    const auto next =
        admission::dequeue_next(of_server.queue, settings.queue, ready);
    if (!next)
        return false;
    auto& it = ctx.state.requests.at(next->id);
    const auto connection = connection_for(ctx, it, idle);
    if (connection && examine(ctx, it).kind == ruling::eligible)
    {
        send(ctx, it, *connection);
        return true;
    }
    admission::release_slot(of_server.queue, next->importance, std::nullopt);
    it.phase = request_phase::held;
    consider(ctx, next->id);
    return true;
}

void suspect_server(context& ctx, const tracked_request& it)
{
    const auto& pool = ctx.state.servers.at(it.server).pool;
    const auto found = pool.connections.find(it.connection);
    if (found == pool.connections.end())
        return;
    // Old connections may go silent while new ones work.
    const auto age = ctx.now - found->second.open_started_at;
    if (age <= ctx.state.settings.pool.probe_after)
        ctx.out.emplace_back(report_suspicion{it.server});
}

/// The rest of a failed statement inside a transaction, or of its end.
void fail_in_transaction(context& ctx, const core::request_id& id,
                         const std::string& message)
{
    auto& it = ctx.state.requests.at(id);
    const auto transaction = *it.request.transaction;
    const bool decided_unknown =
        it.possibly_ran && it.request.access == core::access_mode::commit;
    if (decided_unknown)
        note_commit_sent(ctx, transaction);
    // Without a commit, closing the connection undoes the statement.
    it.possibly_ran = decided_unknown;
    ctx.state.transactions.erase(transaction);
    finish_not_run(ctx, id,
                   decided_unknown
                       ? core::error{core::error_kind::connection_lost,
                                     "the connection was lost after commit was "
                                     "sent; read the data to learn whether it "
                                     "took effect"}
                       : transaction_lost(message),
                   std::nullopt);
}

}  // namespace

void pump(context& ctx)
{
    std::vector<core::server_id> servers;
    for (const auto& [server, it] : ctx.state.servers)
        servers.push_back(server);
    for (const auto& server : servers)
        while (pump_once(ctx, server))
        {
        }
}

void end_dispatch(context& ctx, tracked_request& it,
                  std::optional<core::duration> held)
{
    ctx.state.dispatches.erase(it.dispatch);
    admission::release_slot(ctx.state.servers.at(it.server).queue,
                            it.request.importance, held);
    it.phase = request_phase::held;
}

void fail_dispatch(context& ctx, const core::request_id& id, bool any_byte_sent,
                   const std::string& message)
{
    auto& it = ctx.state.requests.at(id);
    end_dispatch(ctx, it, std::nullopt);
    suspect_server(ctx, it);
    drop_connection(ctx, it.server, it.connection);
    note_silence(ctx, it.server, ctx.now);
    it.possibly_ran = it.possibly_ran || any_byte_sent;
    if (in_transaction(it.request.access))
        return fail_in_transaction(ctx, id, message);
    retry_or_finish(
        ctx, id,
        {core::error_kind::connection_lost,
         "the connection to server " + it.server.value + " failed (" + message +
             "); look the outcome up or retry if the request can "
             "be repeated"});
}

void on_dispatch_failed(context& ctx, const dispatch_failed& it)
{
    const auto found = ctx.state.dispatches.find(it.dispatch);
    if (found == ctx.state.dispatches.end())
        return;
    const auto id = found->second;
    fail_dispatch(ctx, id, it.any_byte_sent, it.message);
}

void retry_or_finish(context& ctx, const core::request_id& id,
                     core::error reason)
{
    auto& it = ctx.state.requests.at(id);
    const auto& settings = ctx.state.settings.retry;
    const auto wait = admission::backoff_delay(settings, it.attempts,
                                               next_fraction(ctx.state.random));
    const bool allowed = (may_repeat(it.request) || !it.possibly_ran) &&
                         !it.caller_gone &&
                         ctx.now + wait < it.request.deadline;
    if (!allowed || !admission::take_retry(ctx.state.budget, settings))
        return finish_not_run(ctx, id, std::move(reason),
                              to_milliseconds(settings.max_backoff));
    it.phase = request_phase::backing_off;
    set_due(ctx, it, ctx.now + wait);
}

}  // namespace godwitbarrow::serving::detail
