#include <algorithm>
#include <utility>

#include "internal.hpp"

namespace godwitbarrow::serving::detail
{
namespace
{

/// Divisor of the difference that a new value adds to the moving average of the
/// confirmation delay.
constexpr int delay_average_divisor = 4;

/// Number of members that report the log of this term up to at least this
/// position.
std::size_t count_confirming_members(const group_state& state,
                                     core::log_position at)
{
    return static_cast<std::size_t>(
        std::count_if(state.members.begin(), state.members.end(),
                      [&](const auto& entry)
                      {
                          const auto& status = entry.second.status;
                          return status && status->term == at.term &&
                                 status->log_term == at.term &&
                                 status->position >= at.position;
                      }));
}

/// Whether a member reports that it is the primary of a term newer than that of
/// the view.
bool primary_replaced(const group_state& state)
{
    return std::any_of(state.members.begin(), state.members.end(),
                       [&](const auto& entry)
                       {
                           const auto& status = entry.second.status;
                           return status &&
                                  status->role == core::member_role::primary &&
                                  status->term > state.view.term;
                       });
}

bool is_confirmed(const group_state& state, core::log_position at)
{
    return state.view.term == at.term && !primary_replaced(state) &&
           count_confirming_members(state, at) >= majority(state);
}

/// Stops waiting for confirmation: the write may exist only in the log of the
/// old term.
void abandon_confirmation(context& ctx, const core::request_id& id)
{
    auto& tracked = ctx.state.requests.at(id);
    tracked.possibly_ran = true;
    if (core::is_repeatable(tracked.request) && !tracked.caller_gone)
    {
        ctx.state.confirming.erase({tracked.reply.at, id});
        tracked.phase = request_phase::held;
        return schedule_request(ctx, id);
    }
    finish_unknown(ctx, id,
                   {core::error_kind::fenced,
                    "the primary was replaced before a majority confirmed the "
                    "write; read the data or look up the key to learn whether "
                    "it took effect"});
}

}  // namespace

void update_confirmation_delay(context& ctx, core::duration delay)
{
    auto& average = ctx.state.confirmation_delay;
    average += (delay - average) / delay_average_divisor;
}

void begin_confirmation(context& ctx, tracked_request& tracked,
                        const core::backend_reply& reply)
{
    const auto id = tracked.request.id;
    tracked.reply = reply;
    // For a repeated idempotency key the server returns the position of the
    // first execution. The log of the current term contains that position if
    // the primary of the term knows the key.
    if (tracked.request.key && reply.at.term < tracked.sent_term)
        tracked.reply.at.term = tracked.sent_term;
    tracked.replied_at = ctx.now;
    tracked.phase = request_phase::confirming;
    ctx.state.confirming.insert({tracked.reply.at, id});
    set_due(ctx, tracked, tracked.request.deadline);
    const bool term_changed = tracked.reply.at.term != tracked.sent_term ||
                              tracked.reply.at.term != ctx.state.view.term;
    if (term_changed)
        return abandon_confirmation(ctx, id);
    complete_confirmed_writes(ctx);
}

void complete_confirmed_writes(context& ctx)
{
    auto& waiting = ctx.state.confirming;
    while (!waiting.empty() && is_confirmed(ctx.state, waiting.begin()->first))
    {
        const auto id = waiting.begin()->second;
        const auto& tracked = ctx.state.requests.at(id);
        update_confirmation_delay(ctx, ctx.now - tracked.replied_at);
        finish_completed(ctx, id,
                         {tracked.reply.rows, tracked.server, tracked.reply.at,
                          std::nullopt});
    }
}

void expire_confirmation(context& ctx, const core::request_id& id)
{
    update_confirmation_delay(ctx,
                              ctx.now - ctx.state.requests.at(id).replied_at);
    finish_unknown(ctx, id,
                   {core::error_kind::confirmation_timeout,
                    "no majority confirmed the write before the deadline; "
                    "read the data or look up the key to learn whether it "
                    "took effect"});
}

void end_old_confirmations(context& ctx)
{
    std::vector<core::request_id> old;
    for (const auto& [at, id] : ctx.state.confirming)
        if (at.term < ctx.state.view.term)
            old.push_back(id);
    for (const auto& id : old)
        abandon_confirmation(ctx, id);
}

}  // namespace godwitbarrow::serving::detail
