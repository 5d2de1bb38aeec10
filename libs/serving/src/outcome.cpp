#include <utility>

#include "internal.hpp"

namespace godwitbarrow::serving::detail
{
namespace
{

/// Removes the request from every index.
tracked_request take(context& ctx, const core::request_id& id)
{
    auto& state = ctx.state;
    const auto found = state.requests.find(id);
    auto it = std::move(found->second);
    state.requests.erase(found);
    state.timers.erase({it.due, id});
    state.held.erase(id);
    if (it.phase == request_phase::confirming)
        state.confirming.erase({it.reply.at, id});
    if (it.phase == request_phase::queued)
        admission::remove(state.servers.at(it.server).queue, id);
    return it;
}

/// The transaction of an ended request waits for its next statement.
void leave_transaction(context& ctx, const core::request_id& id,
                       const tracked_request& it)
{
    if (!it.request.transaction)
        return;
    const auto found = ctx.state.transactions.find(*it.request.transaction);
    if (found == ctx.state.transactions.end() || found->second.active != id)
        return;
    found->second.active.reset();
    found->second.idle_since = ctx.now;
    // A rollback that did not succeed leaves the connection in doubt.
    if (it.internal)
        lose_transaction(ctx, *it.request.transaction, "was idle too long");
}

}  // namespace

void finish(context& ctx, const core::request_id& id, core::outcome result)
{
    const auto it = take(ctx, id);
    if (!it.internal)
        ctx.out.emplace_back(answer{id, std::move(result)});
    leave_transaction(ctx, id, it);
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
    const auto it = take(ctx, id);
    const auto& view = ctx.state.view;
    if (!it.internal)
        ctx.out.emplace_back(
            redirect{id, std::move(reason), view.primary, view.term});
    leave_transaction(ctx, id, it);
}

void finish_completed(context& ctx, const core::request_id& id,
                      core::completed result)
{
    admission::record_success(ctx.state.budget, ctx.state.settings.retry);
    finish(ctx, id, std::move(result));
}

}  // namespace godwitbarrow::serving::detail
