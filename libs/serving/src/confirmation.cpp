#include <algorithm>
#include <utility>

#include "internal.hpp"

namespace godwitbarrow::serving::detail
{
namespace
{

/// Weight of a new value in the moving average of the confirmation delay.
constexpr int delay_weight = 4;

/// Members that report the log of this term up to at least this position.
std::size_t holders(const group_state& state, core::log_position at)
{
    return static_cast<std::size_t>(
        std::count_if(state.members.begin(), state.members.end(),
                      [&](const auto& it)
                      {
                          const auto& status = it.second.status;
                          return status && status->term == at.term &&
                                 status->log_term == at.term &&
                                 status->position >= at.position;
                      }));
}

/// Whether a member reports that it leads a term after the view's.
bool replaced(const group_state& state)
{
    return std::any_of(state.members.begin(), state.members.end(),
                       [&](const auto& it)
                       {
                           const auto& status = it.second.status;
                           return status &&
                                  status->role == core::member_role::primary &&
                                  status->term > state.view.term;
                       });
}

bool may_acknowledge(const group_state& state, core::log_position at)
{
    return state.view.term == at.term && !replaced(state) &&
           holders(state, at) >= majority(state);
}

/// The write may exist in the log of the old term only.
void give_up(context& ctx, const core::request_id& id)
{
    auto& it = ctx.state.requests.at(id);
    it.possibly_ran = true;
    if (core::is_repeatable(it.request) && !it.caller_gone)
    {
        ctx.state.confirming.erase({it.reply.at, id});
        it.phase = request_phase::held;
        return consider(ctx, id);
    }
    finish_unknown(ctx, id,
                   {core::error_kind::fenced,
                    "the primary was replaced before a majority confirmed the "
                    "write; read the data or look the key up to learn whether "
                    "it took effect"});
}

}  // namespace

void note_confirmation_delay(context& ctx, core::duration delay)
{
    auto& average = ctx.state.confirmation_delay;
    average += (delay - average) / delay_weight;
}

void begin_confirmation(context& ctx, tracked_request& it,
                        const core::backend_reply& reply)
{
    const auto id = it.request.id;
    it.reply = reply;
    // A repeated key returns the position of its first run, which the log of
    // the current term holds if its primary knows the key.
    if (it.request.key && reply.at.term < it.sent_term)
        it.reply.at.term = it.sent_term;
    it.replied_at = ctx.now;
    it.phase = request_phase::confirming;
    ctx.state.confirming.insert({it.reply.at, id});
    set_due(ctx, it, it.request.deadline);
    const bool lost_term = it.reply.at.term != it.sent_term ||
                           it.reply.at.term != ctx.state.view.term;
    if (lost_term)
        return give_up(ctx, id);
    confirm(ctx);
}

void confirm(context& ctx)
{
    auto& waiting = ctx.state.confirming;
    while (!waiting.empty() &&
           may_acknowledge(ctx.state, waiting.begin()->first))
    {
        const auto id = waiting.begin()->second;
        const auto& it = ctx.state.requests.at(id);
        note_confirmation_delay(ctx, ctx.now - it.replied_at);
        finish_completed(ctx, id,
                         {it.reply.rows, it.server, it.reply.at, std::nullopt});
    }
}

void expire_confirmation(context& ctx, const core::request_id& id)
{
    note_confirmation_delay(ctx,
                            ctx.now - ctx.state.requests.at(id).replied_at);
    finish_unknown(ctx, id,
                   {core::error_kind::confirmation_timeout,
                    "no majority confirmed the write before the deadline; "
                    "read the data or look the key up to learn whether it "
                    "took effect"});
}

void end_old_confirmations(context& ctx)
{
    std::vector<core::request_id> old;
    for (const auto& [at, id] : ctx.state.confirming)
        if (at.term < ctx.state.view.term)
            old.push_back(id);
    for (const auto& id : old)
        give_up(ctx, id);
}

}  // namespace godwitbarrow::serving::detail
