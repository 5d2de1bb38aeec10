#include <utility>

#include "internal.hpp"

namespace godwitbarrow::serving::detail
{
namespace
{

/// Removes the request from all indexes and returns it.
tracked_request remove_request(context& ctx, const core::request_id& id)
{
    auto& state = ctx.state;
    const auto found = state.requests.find(id);
    auto tracked = std::move(found->second);
    state.requests.erase(found);
    state.timers.erase({tracked.due, id});
    state.held.erase(id);
    if (tracked.phase == request_phase::confirming)
        state.confirming.erase({tracked.reply.at, id});
    if (tracked.phase == request_phase::queued)
        admission::remove(state.servers.at(tracked.server).queue, id);
    return tracked;
}

/// Marks the transaction of a finished request as idle until its next
/// statement.
void deactivate_transaction(context& ctx, const core::request_id& id,
                            const tracked_request& tracked)
{
    if (!tracked.request.transaction)
        return;
    const auto found =
        ctx.state.transactions.find(*tracked.request.transaction);
    if (found == ctx.state.transactions.end() || found->second.active != id)
        return;
    found->second.active.reset();
    found->second.idle_since = ctx.now;
    // A rollback that failed leaves the state of the connection unknown.
    if (tracked.internal)
        abort_transaction(ctx, *tracked.request.transaction,
                          "it was idle too long");
}

}  // namespace

void finish(context& ctx, const core::request_id& id, core::outcome result)
{
    const auto tracked = remove_request(ctx, id);
    if (!tracked.internal)
        ctx.out.emplace_back(answer{id, std::move(result)});
    deactivate_transaction(ctx, id, tracked);
}

void finish_not_run(context& ctx, const core::request_id& id,
                    core::error reason,
                    std::optional<std::chrono::milliseconds> retry_after)
{
    if (ctx.state.requests.at(id).possibly_ran)
        return finish_unknown(ctx, id, std::move(reason));
    finish(ctx, id, core::not_run{std::move(reason), retry_after});
}

void finish_unknown(context& ctx, const core::request_id& id,
                    core::error reason)
{
    finish(ctx, id, core::outcome_unknown{std::move(reason)});
}

void finish_redirect(context& ctx, const core::request_id& id,
                     core::error reason)
{
    if (ctx.state.requests.at(id).possibly_ran)
        return finish_unknown(ctx, id, std::move(reason));
    const auto tracked = remove_request(ctx, id);
    const auto& view = ctx.state.view;
    if (!tracked.internal)
        ctx.out.emplace_back(
            redirect{id, std::move(reason), view.primary, view.term});
    deactivate_transaction(ctx, id, tracked);
}

void finish_completed(context& ctx, const core::request_id& id,
                      core::completed result)
{
    admission::record_success(ctx.state.budget, ctx.state.settings.retry);
    finish(ctx, id, std::move(result));
}

}  // namespace godwitbarrow::serving::detail
