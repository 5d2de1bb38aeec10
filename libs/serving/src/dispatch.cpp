#include <algorithm>
#include <utility>

#include "internal.hpp"

namespace godwitbarrow::serving::detail
{
namespace
{

/// Multiple of the average service time allowed for one attempt, so that a slow
/// but working server is not taken for unresponsive.
constexpr int service_times_per_attempt = 4;
/// Multiple of the average service time that must remain before the deadline;
/// many statements take longer than the average.
constexpr int min_remaining_service_times = 2;

/// Closing the connection undoes a begin, so a begin can be sent again, like a
/// read or a write with an idempotency key.
bool is_retryable(const core::request& request)
{
    return core::is_repeatable(request) ||
           request.access == core::access_mode::begin;
}

core::time_point reply_limit(const context& ctx, const tracked_request& tracked)
{
    if (!is_retryable(tracked.request))
        return tracked.request.deadline;
    const auto& queue = ctx.state.servers.at(tracked.server).queue;
    const auto attempt_limit = std::max<core::duration>(
        ctx.state.settings.attempt_timeout,
        queue.service_time * service_times_per_attempt);
    return std::min(tracked.request.deadline, ctx.now + attempt_limit);
}

void send(context& ctx, tracked_request& tracked, connection_number connection)
{
    auto& state = ctx.state;
    auto& used =
        state.servers.at(tracked.server).pool.connections.at(connection);
    used.phase = admission::connection_phase::busy;
    used.phase_started_at = ctx.now;
    used.last_used_at = ctx.now;
    tracked.phase = request_phase::running;
    tracked.dispatch = state.next_dispatch++;
    tracked.connection = connection;
    tracked.sent_term = state.view.term;
    tracked.sent_at = ctx.now;
    tracked.reply_by = reply_limit(ctx, tracked);
    const auto member = state.members.find(tracked.server);
    tracked.fresh_at_send = member == state.members.end()
                                ? std::nullopt
                                : member->second.fresh_as_of;
    ++tracked.attempts;
    state.dispatches.emplace(tracked.dispatch, tracked.request.id);
    set_due(ctx, tracked, tracked.reply_by);
    ctx.out.emplace_back(send_statement{tracked.dispatch, connection,
                                        tracked.server, tracked.sent_term,
                                        tracked.request, tracked.reply_by});
}

std::optional<connection_number> connection_for(
    const context& ctx, const tracked_request& tracked,
    std::optional<connection_number> idle)
{
    if (!in_transaction(tracked.request.access))
        return idle;
    const auto found =
        ctx.state.transactions.find(*tracked.request.transaction);
    if (found == ctx.state.transactions.end())
        return std::nullopt;
    return found->second.connection;
}

/// Expected time that a write waits for a majority after its reply.
core::duration confirmation_time(const context& ctx, const core::request_id& id)
{
    const auto& request = ctx.state.requests.at(id).request;
    return core::is_write(request.access) ? ctx.state.confirmation_delay
                                          : core::duration::zero();
}

/// Sends one queued request. Returns false if none can be sent.
bool dispatch_next(context& ctx, const core::server_id& server)
{
    auto& backend = ctx.state.servers.at(server);
    const auto& settings = ctx.state.settings;
    const auto idle =
        admission::pick_idle(backend.pool, settings.pool, ctx.now);
    const bool begin_allowed = idle && may_begin_transaction(ctx, server);
    // A request sent too late would only end with an unknown outcome and a
    // closed connection. An idle server gets the request anyway, so that an
    // average left over from a slow period is corrected.
    const bool server_busy = admission::running_count(backend.queue) > 0;
    const auto time_needed =
        backend.queue.service_time * min_remaining_service_times;
    const auto can_dispatch = [&](const admission::queue_entry& entry)
    {
        if (entry.need == admission::connection_need::held)
            return true;
        if (server_busy &&
            ctx.now + time_needed + confirmation_time(ctx, entry.id) >
                entry.deadline)
            return false;
        return entry.need == admission::connection_need::shared
                   ? idle.has_value()
                   : begin_allowed;
    };
    const auto next =
        admission::dequeue_next(backend.queue, settings.queue, can_dispatch);
    if (!next)
        return false;
    auto& tracked = ctx.state.requests.at(next->id);
    const auto connection = connection_for(ctx, tracked, idle);
    if (connection &&
        check_eligibility(ctx, tracked).kind == disposition::eligible)
    {
        send(ctx, tracked, *connection);
        return true;
    }
    admission::release_slot(backend.queue, next->importance, std::nullopt);
    tracked.phase = request_phase::held;
    schedule_request(ctx, next->id);
    return true;
}

void report_if_suspect(context& ctx, const tracked_request& tracked)
{
    const auto& pool = ctx.state.servers.at(tracked.server).pool;
    const auto found = pool.connections.find(tracked.connection);
    if (found == pool.connections.end())
        return;
    // An old connection may stop responding while new connections work.
    const auto age = ctx.now - found->second.open_started_at;
    if (age <= ctx.state.settings.pool.probe_after)
        ctx.out.emplace_back(report_suspicion{tracked.server});
}

/// Ends the transaction after the dispatch of one of its requests failed, and
/// answers that request.
void fail_in_transaction(context& ctx, const core::request_id& id,
                         const std::string& message)
{
    auto& tracked = ctx.state.requests.at(id);
    const auto transaction = *tracked.request.transaction;
    const bool commit_in_doubt =
        tracked.possibly_ran &&
        tracked.request.access == core::access_mode::commit;
    if (commit_in_doubt)
        record_commit_sent(ctx, transaction);
    // Without a commit, closing the connection undoes the statement.
    tracked.possibly_ran = commit_in_doubt;
    ctx.state.transactions.erase(transaction);
    finish_not_run(ctx, id,
                   commit_in_doubt
                       ? core::error{core::error_kind::connection_lost,
                                     "the connection was lost after commit was "
                                     "sent; read the data to learn whether it "
                                     "took effect"}
                       : transaction_lost_error(message),
                   std::nullopt);
}

}  // namespace

void dispatch_waiting(context& ctx)
{
    std::vector<core::server_id> servers;
    for (const auto& [server, backend] : ctx.state.servers)
        servers.push_back(server);
    for (const auto& server : servers)
        while (dispatch_next(ctx, server))
        {
        }
}

void end_dispatch(context& ctx, tracked_request& tracked,
                  std::optional<core::duration> slot_time)
{
    ctx.state.dispatches.erase(tracked.dispatch);
    admission::release_slot(ctx.state.servers.at(tracked.server).queue,
                            tracked.request.importance, slot_time);
    tracked.phase = request_phase::held;
}

void fail_dispatch(context& ctx, const core::request_id& id, bool any_byte_sent,
                   const std::string& message)
{
    auto& tracked = ctx.state.requests.at(id);
    end_dispatch(ctx, tracked, std::nullopt);
    report_if_suspect(ctx, tracked);
    drop_connection(ctx, tracked.server, tracked.connection);
    record_silence(ctx, tracked.server, ctx.now);
    tracked.possibly_ran = tracked.possibly_ran || any_byte_sent;
    if (in_transaction(tracked.request.access))
        return fail_in_transaction(ctx, id, message);
    retry_or_finish(ctx, id,
                    {core::error_kind::connection_lost,
                     "the connection to server " + tracked.server.value +
                         " failed (" + message +
                         "); look up the outcome, or retry if the request can "
                         "be repeated"});
}

void on_dispatch_failed(context& ctx, const dispatch_failed& event)
{
    const auto found = ctx.state.dispatches.find(event.dispatch);
    if (found == ctx.state.dispatches.end())
        return;
    const auto id = found->second;
    fail_dispatch(ctx, id, event.any_byte_sent, event.message);
}

void retry_or_finish(context& ctx, const core::request_id& id,
                     core::error reason)
{
    auto& tracked = ctx.state.requests.at(id);
    const auto& settings = ctx.state.settings.retry;
    const auto wait = admission::backoff_delay(settings, tracked.attempts,
                                               next_fraction(ctx.state.random));
    const bool allowed =
        (is_retryable(tracked.request) || !tracked.possibly_ran) &&
        !tracked.caller_gone && ctx.now + wait < tracked.request.deadline;
    if (!allowed || !admission::take_retry(ctx.state.budget, settings))
        return finish_not_run(ctx, id, std::move(reason),
                              to_milliseconds(settings.max_backoff));
    tracked.phase = request_phase::backing_off;
    set_due(ctx, tracked, ctx.now + wait);
}

}  // namespace godwitbarrow::serving::detail
