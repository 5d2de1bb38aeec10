#include <algorithm>
#include <utility>

#include "internal.hpp"

namespace godwitbarrow::serving::detail
{
namespace
{

admission::connection_need need_of(core::access_mode it)
{
    if (in_transaction(it))
        return admission::connection_need::held;
    return it == core::access_mode::begin
               ? admission::connection_need::for_transaction
               : admission::connection_need::shared;
}

core::error overloaded()
{
    return {core::error_kind::overloaded,
            "the queue is too long for the deadline; retry after the stated "
            "time or with a longer deadline"};
}

void mark_active(context& ctx, const core::request_id& id,
                 const tracked_request& it)
{
    if (!in_transaction(it.request.access))
        return;
    const auto found = ctx.state.transactions.find(*it.request.transaction);
    if (found != ctx.state.transactions.end())
        found->second.active = id;
}

void join_queue(context& ctx, const core::request_id& id, tracked_request& it)
{
    auto& queue = ctx.state.servers.at(it.server).queue;
    const auto& settings = ctx.state.settings.queue;
    const admission::queue_entry entry{id, it.request.importance,
                                       need_of(it.request.access), it.arrived,
                                       it.request.deadline};
    // The bound is for new work; work that was accepted, or that keeps a
    // connection busy until its transaction ends, is not turned away.
    const bool accepted =
        it.attempts > 0 || it.possibly_ran || in_transaction(it.request.access);
    if (accepted)
        admission::enqueue_unchecked(queue, entry);
    else if (const auto wait =
                 admission::enqueue(queue, settings, entry, ctx.now))
        return finish_not_run(ctx, id, overloaded(), to_milliseconds(*wait));
    it.phase = request_phase::queued;
    mark_active(ctx, id, it);
    set_due(ctx, it, it.request.deadline);
}

void join_held(context& ctx, const core::request_id& id, tracked_request& it,
               const verdict& v)
{
    const bool was_held = ctx.state.held.count(id) != 0;
    it.phase = request_phase::held;
    mark_active(ctx, id, it);
    ctx.state.held.insert(id);
    auto due = std::min(v.hold_until, it.request.deadline);
    if (it.blocked_until && ctx.now < *it.blocked_until)
        due = std::min(due, *it.blocked_until);
    set_due(ctx, it, due);
    if (v.refresh && !was_held)
        ctx.out.emplace_back(refresh_view{*v.refresh});
}

/// A statement goes to the server of its transaction, a write to the primary
/// if this host owns it.
void assign(tracked_request& it, const group_state& state)
{
    const auto access = it.request.access;
    if (in_transaction(access) && it.request.transaction)
    {
        const auto found = state.transactions.find(*it.request.transaction);
        if (found != state.transactions.end())
            it.server = found->second.server;
    }
    const bool follows = access == core::access_mode::write ||
                         access == core::access_mode::begin;
    if (!follows || !state.view.primary)
        return;
    const auto found = state.servers.find(*state.view.primary);
    if (found != state.servers.end() && found->second.owned)
        it.server = *state.view.primary;
}

std::vector<core::request_id> waiting_requests(const group_state& state)
{
    std::vector<core::request_id> ids;
    for (const auto& [id, it] : state.requests)
        if (it.phase == request_phase::queued ||
            it.phase == request_phase::backing_off)
            ids.push_back(id);
    return ids;
}

/// Returns a queued request to the state in which it can be considered.
void leave_queue(context& ctx, const core::request_id& id, tracked_request& it)
{
    if (it.phase == request_phase::queued)
        admission::remove(ctx.state.servers.at(it.server).queue, id);
    it.phase = request_phase::held;
}

}  // namespace

void set_due(context& ctx, tracked_request& it, core::time_point due)
{
    ctx.state.timers.erase({it.due, it.request.id});
    it.due = due;
    ctx.state.timers.insert({due, it.request.id});
}

void consider(context& ctx, const core::request_id& id)
{
    auto& it = ctx.state.requests.at(id);
    assign(it, ctx.state);
    auto v = examine(ctx, it);
    if (v.kind == ruling::hold)
        return join_held(ctx, id, it, v);
    ctx.state.held.erase(id);
    if (v.kind == ruling::eligible)
        return join_queue(ctx, id, it);
    if (v.kind == ruling::redirect)
        return finish_redirect(ctx, id, std::move(v.reason));
    if (v.unknown)
        return finish_unknown(ctx, id, std::move(v.reason));
    finish_not_run(ctx, id, std::move(v.reason), v.retry_after);
}

void on_arrival(context& ctx, const request_arrived& it)
{
    const auto& id = it.request.id;
    if (ctx.state.requests.count(id) != 0)
    {
        // The first request with this id may run, so "not run" could mislead.
        ctx.out.emplace_back(answer{
            id, core::outcome_unknown{
                    {core::error_kind::conflict,
                     "a request with this id is in progress; use a new id"}}});
        return;
    }
    tracked_request tracked;
    tracked.request = it.request;
    tracked.server = it.server;
    tracked.arrived = ctx.now;
    ctx.state.requests.emplace(id, std::move(tracked));
    consider(ctx, id);
}

void on_caller_gone(context& ctx, const caller_gone& it)
{
    const auto found = ctx.state.requests.find(it.id);
    if (found == ctx.state.requests.end())
        return;
    auto& tracked = found->second;
    tracked.caller_gone = true;
    if (tracked.phase == request_phase::running ||
        tracked.phase == request_phase::confirming)
        return;
    finish_not_run(ctx, it.id,
                   {core::error_kind::connection_lost,
                    "the caller closed its connection before the request was "
                    "sent; send it again"},
                   std::nullopt);
}

void reconsider_held(context& ctx)
{
    const std::vector<core::request_id> ids(ctx.state.held.begin(),
                                            ctx.state.held.end());
    for (const auto& id : ids)
        if (ctx.state.requests.count(id) != 0)
            consider(ctx, id);
}

void reconsider_waiting(context& ctx)
{
    for (const auto& id : waiting_requests(ctx.state))
    {
        const auto found = ctx.state.requests.find(id);
        if (found == ctx.state.requests.end())
            continue;
        auto& it = found->second;
        if (examine(ctx, it).kind == ruling::eligible)
            continue;
        leave_queue(ctx, id, it);
        consider(ctx, id);
    }
}

}  // namespace godwitbarrow::serving::detail
