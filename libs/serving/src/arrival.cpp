#include <algorithm>
#include <utility>

#include "internal.hpp"

namespace godwitbarrow::serving::detail
{
namespace
{

admission::connection_need connection_need_of(core::access_mode access)
{
    if (in_transaction(access))
        return admission::connection_need::held;
    return access == core::access_mode::begin
               ? admission::connection_need::for_transaction
               : admission::connection_need::shared;
}

core::error overloaded_error()
{
    return {core::error_kind::overloaded,
            "the queue is too long for the deadline; retry after the stated "
            "time or with a longer deadline"};
}

void set_active_request(context& ctx, const core::request_id& id,
                        const tracked_request& tracked)
{
    if (!in_transaction(tracked.request.access))
        return;
    const auto found =
        ctx.state.transactions.find(*tracked.request.transaction);
    if (found != ctx.state.transactions.end())
        found->second.active = id;
}

void enqueue_request(context& ctx, const core::request_id& id,
                     tracked_request& tracked)
{
    auto& queue = ctx.state.servers.at(tracked.server).queue;
    const auto& settings = ctx.state.settings.queue;
    const admission::queue_entry entry{
        id, tracked.request.importance,
        connection_need_of(tracked.request.access), tracked.arrived,
        tracked.request.deadline};
    // The queue bound applies to new requests only. A request that was accepted
    // before, or whose transaction occupies a connection until it ends, is not
    // rejected.
    const bool accepted = tracked.attempts > 0 || tracked.possibly_ran ||
                          in_transaction(tracked.request.access);
    if (accepted)
        admission::enqueue_unchecked(queue, entry);
    else if (const auto wait =
                 admission::enqueue(queue, settings, entry, ctx.now))
        return finish_not_run(ctx, id, overloaded_error(),
                              to_milliseconds(*wait));
    tracked.phase = request_phase::queued;
    set_active_request(ctx, id, tracked);
    set_due(ctx, tracked, tracked.request.deadline);
}

void hold_request(context& ctx, const core::request_id& id,
                  tracked_request& tracked, const eligibility& result)
{
    const bool was_held = ctx.state.held.count(id) != 0;
    tracked.phase = request_phase::held;
    set_active_request(ctx, id, tracked);
    ctx.state.held.insert(id);
    auto due = std::min(result.hold_until, tracked.request.deadline);
    if (tracked.blocked_until && ctx.now < *tracked.blocked_until)
        due = std::min(due, *tracked.blocked_until);
    set_due(ctx, tracked, due);
    if (result.refresh && !was_held)
        ctx.out.emplace_back(refresh_view{*result.refresh});
}

/// Assigns a statement to the server of its transaction, and a write to the
/// primary if this host owns the primary.
void assign_server(tracked_request& tracked, const group_state& state)
{
    const auto access = tracked.request.access;
    if (in_transaction(access) && tracked.request.transaction)
    {
        const auto found =
            state.transactions.find(*tracked.request.transaction);
        if (found != state.transactions.end())
            tracked.server = found->second.server;
    }
    const bool needs_primary = access == core::access_mode::write ||
                               access == core::access_mode::begin;
    if (!needs_primary || !state.view.primary)
        return;
    const auto found = state.servers.find(*state.view.primary);
    if (found != state.servers.end() && found->second.owned)
        tracked.server = *state.view.primary;
}

std::vector<core::request_id> waiting_requests(const group_state& state)
{
    std::vector<core::request_id> ids;
    for (const auto& [id, tracked] : state.requests)
        if (tracked.phase == request_phase::queued ||
            tracked.phase == request_phase::backing_off)
            ids.push_back(id);
    return ids;
}

/// Removes the request from the queue so that it can be scheduled again.
void dequeue_request(context& ctx, const core::request_id& id,
                     tracked_request& tracked)
{
    if (tracked.phase == request_phase::queued)
        admission::remove(ctx.state.servers.at(tracked.server).queue, id);
    tracked.phase = request_phase::held;
}

}  // namespace

void set_due(context& ctx, tracked_request& tracked, core::time_point due)
{
    ctx.state.timers.erase({tracked.due, tracked.request.id});
    tracked.due = due;
    ctx.state.timers.insert({due, tracked.request.id});
}

void schedule_request(context& ctx, const core::request_id& id)
{
    auto& tracked = ctx.state.requests.at(id);
    assign_server(tracked, ctx.state);
    auto result = check_eligibility(ctx, tracked);
    if (result.kind == disposition::hold)
        return hold_request(ctx, id, tracked, result);
    ctx.state.held.erase(id);
    if (result.kind == disposition::eligible)
        return enqueue_request(ctx, id, tracked);
    if (result.kind == disposition::redirect)
        return finish_redirect(ctx, id, std::move(result.reason));
    if (result.unknown)
        return finish_unknown(ctx, id, std::move(result.reason));
    finish_not_run(ctx, id, std::move(result.reason), result.retry_after);
}

void on_arrival(context& ctx, const request_arrived& event)
{
    const auto& id = event.request.id;
    if (ctx.state.requests.count(id) != 0)
    {
        // The first request with this id may run, so "not run" could be wrong.
        ctx.out.emplace_back(answer{
            id, core::outcome_unknown{
                    {core::error_kind::conflict,
                     "a request with this id is in progress; use a new id"}}});
        return;
    }
    tracked_request tracked;
    tracked.request = event.request;
    tracked.server = event.server;
    tracked.arrived = ctx.now;
    ctx.state.requests.emplace(id, std::move(tracked));
    schedule_request(ctx, id);
}

void on_caller_gone(context& ctx, const caller_gone& event)
{
    const auto found = ctx.state.requests.find(event.id);
    if (found == ctx.state.requests.end())
        return;
    auto& tracked = found->second;
    tracked.caller_gone = true;
    if (tracked.phase == request_phase::running ||
        tracked.phase == request_phase::confirming)
        return;
    finish_not_run(ctx, event.id,
                   {core::error_kind::connection_lost,
                    "the caller closed its connection before the request was "
                    "sent; send it again"},
                   std::nullopt);
}

void reschedule_held(context& ctx)
{
    const std::vector<core::request_id> ids(ctx.state.held.begin(),
                                            ctx.state.held.end());
    for (const auto& id : ids)
        if (ctx.state.requests.count(id) != 0)
            schedule_request(ctx, id);
}

void recheck_waiting(context& ctx)
{
    for (const auto& id : waiting_requests(ctx.state))
    {
        const auto found = ctx.state.requests.find(id);
        if (found == ctx.state.requests.end())
            continue;
        auto& tracked = found->second;
        if (check_eligibility(ctx, tracked).kind == disposition::eligible)
            continue;
        dequeue_request(ctx, id, tracked);
        schedule_request(ctx, id);
    }
}

}  // namespace godwitbarrow::serving::detail
