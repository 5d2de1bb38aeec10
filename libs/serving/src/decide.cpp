#include "godwitbarrow/serving/decide.hpp"

#include <algorithm>

#include "internal.hpp"

namespace godwitbarrow::serving
{
namespace detail
{
namespace
{

core::error no_slot_in_time()
{
    return {core::error_kind::deadline_exceeded,
            "no slot became free before the deadline; retry later or with a "
            "longer deadline"};
}

void handle_due(context& ctx, const core::request_id& id)
{
    const auto& it = ctx.state.requests.at(id);
    switch (it.phase)
    {
        case request_phase::held:
        case request_phase::backing_off:
            consider(ctx, id);
            break;
        case request_phase::queued:
        {
            const auto& queue = ctx.state.servers.at(it.server).queue;
            finish_not_run(ctx, id, no_slot_in_time(),
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
            handle_due(ctx, id);
    roll_back_idle(ctx);
}

void apply(context& ctx, const request_arrived& it)
{
    on_arrival(ctx, it);
}
void apply(context& ctx, const reply_received& it)
{
    on_reply(ctx, it);
}
void apply(context& ctx, const dispatch_failed& it)
{
    on_dispatch_failed(ctx, it);
}
void apply(context& ctx, const connection_opened& it)
{
    on_opened(ctx, it);
}
void apply(context& ctx, const connection_closed& it)
{
    on_closed(ctx, it);
}
void apply(context& ctx, const status_received& it)
{
    on_status(ctx, it);
}
void apply(context& ctx, const status_missed& it)
{
    on_status_missed(ctx, it);
}
void apply(context& ctx, const view_changed& it)
{
    on_view(ctx, it);
}
void apply(context& ctx, const server_leaving& it)
{
    on_leaving(ctx, it);
}
void apply(context& ctx, const ownership_changed& it)
{
    on_ownership(ctx, it);
}
void apply(context& ctx, const caller_gone& it)
{
    on_caller_gone(ctx, it);
}
void apply(context& ctx, const tick& /*unused*/)
{
    on_tick(ctx);
}

}  // namespace
}  // namespace detail

std::vector<action> decide(group_state& state, const event& it,
                           core::time_point now)
{
    detail::context ctx{state, now, {}};
    std::visit([&](const auto& known) { detail::apply(ctx, known); }, it);
    detail::pump(ctx);
    detail::maintain_connections(ctx);
    return std::move(ctx.out);
}

std::optional<core::time_point> next_wakeup(const group_state& state)
{
    auto due = core::time_point::max();
    if (!state.timers.empty())
        due = state.timers.begin()->first;
    for (const auto& [id, it] : state.transactions)
        if (!it.active)
            due = std::min(
                due, it.idle_since + state.settings.transaction_idle_limit);
    for (const auto& [server, it] : state.servers)
        if (const auto n =
                admission::next_deadline(it.pool, state.settings.pool))
            due = std::min(due, *n);
    if (due == core::time_point::max())
        return std::nullopt;
    return due;
}

}  // namespace godwitbarrow::serving
