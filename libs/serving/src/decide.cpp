#include "godwitbarrow/serving/decide.hpp"

#include <algorithm>

#include "internal.hpp"

namespace godwitbarrow::serving
{
namespace detail
{
namespace
{

core::error no_slot_error()
{
    return {core::error_kind::deadline_exceeded,
            "no slot became free before the deadline; retry later or with a "
            "longer deadline"};
}

void handle_timer(context& ctx, const core::request_id& id)
{
    const auto& tracked = ctx.state.requests.at(id);
    switch (tracked.phase)
    {
        case request_phase::held:
        case request_phase::backing_off:
            schedule_request(ctx, id);
            break;
        case request_phase::queued:
        {
            const auto& queue = ctx.state.servers.at(tracked.server).queue;
            finish_not_run(ctx, id, no_slot_error(),
                           to_milliseconds(queue.service_time));
            break;
        }
        case request_phase::running:
            fail_dispatch(ctx, id, true, "no reply arrived in time");
            break;
        case request_phase::confirming:
            expire_confirmation(ctx, id);
            break;
    }
}

void on_tick(context& ctx)
{
    std::vector<core::request_id> due;
    for (const auto& [when, id] : ctx.state.timers)
    {
        if (when > ctx.now)
            break;
        due.push_back(id);
    }
    for (const auto& id : due)
        if (ctx.state.requests.count(id) != 0)
            handle_timer(ctx, id);
    roll_back_idle(ctx);
}

void apply(context& ctx, const request_arrived& event)
{
    on_arrival(ctx, event);
}
void apply(context& ctx, const reply_received& event)
{
    on_reply(ctx, event);
}
void apply(context& ctx, const dispatch_failed& event)
{
    on_dispatch_failed(ctx, event);
}
void apply(context& ctx, const connection_opened& event)
{
    on_opened(ctx, event);
}
void apply(context& ctx, const connection_closed& event)
{
    on_closed(ctx, event);
}
void apply(context& ctx, const status_received& event)
{
    on_status(ctx, event);
}
void apply(context& ctx, const status_missed& event)
{
    on_status_missed(ctx, event);
}
void apply(context& ctx, const view_changed& event)
{
    on_view(ctx, event);
}
void apply(context& ctx, const server_leaving& event)
{
    on_leaving(ctx, event);
}
void apply(context& ctx, const ownership_changed& event)
{
    on_ownership(ctx, event);
}
void apply(context& ctx, const caller_gone& event)
{
    on_caller_gone(ctx, event);
}
void apply(context& ctx, const tick& /*unused*/)
{
    on_tick(ctx);
}

}  // namespace
}  // namespace detail

std::vector<action> decide(group_state& state, const event& event,
                           core::time_point now)
{
    detail::context ctx{state, now, {}};
    std::visit([&](const auto& typed_event)
               { detail::apply(ctx, typed_event); },
               event);
    detail::dispatch_waiting(ctx);
    detail::maintain_connections(ctx);
    return std::move(ctx.out);
}

std::optional<core::time_point> next_wakeup(const group_state& state)
{
    auto due = core::time_point::max();
    if (!state.timers.empty())
        due = state.timers.begin()->first;
    for (const auto& [id, transaction] : state.transactions)
        if (!transaction.active)
            due = std::min(due, transaction.idle_since +
                                    state.settings.transaction_idle_limit);
    for (const auto& [server, backend] : state.servers)
        if (const auto n =
                admission::next_deadline(backend.pool, state.settings.pool))
            due = std::min(due, *n);
    if (due == core::time_point::max())
        return std::nullopt;
    return due;
}

}  // namespace godwitbarrow::serving
