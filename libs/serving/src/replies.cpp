#include <algorithm>
#include <utility>

#include "godwitbarrow/session/freshness.hpp"
#include "godwitbarrow/session/reached.hpp"
#include "internal.hpp"

namespace godwitbarrow::serving::detail
{
namespace
{

using core::error_kind;

/// A request rejected because of its term is tried again after this time even
/// if no newer view has arrived.
constexpr std::chrono::milliseconds view_retry_after{200};

core::completed completed_by(const tracked_request& tracked,
                             const core::backend_reply& reply)
{
    return {reply.rows, tracked.server, reply.at, std::nullopt};
}

/// The data of the reply is as fresh as the newest sample of the primary's
/// position that was taken before the statement was sent and that the reply has
/// reached.
std::optional<core::time_point> reply_fresh_as_of(
    const context& ctx, const tracked_request& tracked,
    const core::backend_reply& reply)
{
    if (is_primary(ctx.state, tracked.server))
        return tracked.fresh_at_send;
    const core::member_status status{reply.at.term, reply.at.term,
                                     reply.at.position};
    const auto fresh_time = session::replica_fresh_as_of(
        ctx.state.history, status, tracked.sent_at, ctx.state.view.term);
    return fresh_time ? std::max(fresh_time, tracked.fresh_at_send)
                      : tracked.fresh_at_send;
}

bool reply_is_current(const context& ctx, const tracked_request& tracked,
                      const core::backend_reply& reply)
{
    const auto term = ctx.state.view.term;
    if (tracked.sent_term != term || reply.at.term != term)
        return false;
    const core::member_status status{term, term, reply.at.position};
    const auto role = is_primary(ctx.state, tracked.server)
                          ? core::member_role::primary
                          : core::member_role::replica;
    return session::has_reached(tracked.request.token, status, role, term) &&
           session::within_age(reply_fresh_as_of(ctx, tracked, reply),
                               tracked.request.max_age, ctx.now);
}

void finish_read(context& ctx, const core::request_id& id,
                 const core::backend_reply& reply)
{
    auto& tracked = ctx.state.requests.at(id);
    if (reply_is_current(ctx, tracked, reply))
        return finish_completed(ctx, id, completed_by(tracked, reply));
    tracked.possibly_ran = true;
    retry_or_finish(ctx, id,
                    {error_kind::too_stale,
                     "the data that server " + tracked.server.value +
                         " returned was too old for the token, the term or "
                         "max_age; retry or use the primary"});
}

void finish_begin(context& ctx, const core::request_id& id,
                  const core::backend_reply& reply)
{
    auto& tracked = ctx.state.requests.at(id);
    const bool current = tracked.sent_term == ctx.state.view.term &&
                         reply.at.term == ctx.state.view.term;
    if (current)
        return begin_transaction(ctx, id, reply);
    drop_connection(ctx, tracked.server, tracked.connection);
    tracked.possibly_ran = true;
    retry_or_finish(ctx, id,
                    {error_kind::fenced,
                     "the primary was replaced while the transaction began; "
                     "begin again"});
}

void finish_rollback(context& ctx, const core::request_id& id,
                     const core::backend_reply& reply)
{
    const auto& tracked = ctx.state.requests.at(id);
    auto result = completed_by(tracked, reply);
    end_transaction(ctx, *tracked.request.transaction);
    finish_completed(ctx, id, std::move(result));
}

/// An executed commit ends its transaction, whether or not it is confirmed.
void finish_commit(context& ctx, const core::request_id& id,
                   const core::backend_reply& reply)
{
    auto& tracked = ctx.state.requests.at(id);
    record_commit_sent(ctx, *tracked.request.transaction);
    end_transaction(ctx, *tracked.request.transaction);
    begin_confirmation(ctx, tracked, reply);
}

void finish_executed(context& ctx, const core::request_id& id,
                     const core::backend_reply& reply)
{
    auto& tracked = ctx.state.requests.at(id);
    if (tracked.sent_term == reply.at.term)
        update_position(ctx, tracked.server, reply.at);
    switch (tracked.request.access)
    {
        case core::access_mode::read:
            release_connection(ctx, tracked.server, tracked.connection);
            return finish_read(ctx, id, reply);
        case core::access_mode::write:
            release_connection(ctx, tracked.server, tracked.connection);
            return begin_confirmation(ctx, tracked, reply);
        case core::access_mode::begin:
            return finish_begin(ctx, id, reply);
        case core::access_mode::statement:
            return finish_completed(ctx, id, completed_by(tracked, reply));
        case core::access_mode::commit:
            return finish_commit(ctx, id, reply);
        case core::access_mode::rollback:
            return finish_rollback(ctx, id, reply);
    }
}

/// The server rejected the term, so the statement did not run.
void finish_wrong_term(context& ctx, const core::request_id& id,
                       const core::backend_reply& reply)
{
    auto& tracked = ctx.state.requests.at(id);
    const auto term = ctx.state.view.term;
    ctx.out.emplace_back(refresh_view{std::max(reply.at.term, term)});
    if (in_transaction(tracked.request.access))
        return abort_transaction(ctx, *tracked.request.transaction,
                                 "the primary was replaced");
    release_connection(ctx, tracked.server, tracked.connection);
    if (tracked.sent_term == term)
        tracked.blocked_until = ctx.now + view_retry_after;
    schedule_request(ctx, id);
}

void finish_rejected(context& ctx, const core::request_id& id,
                     const core::backend_reply& reply)
{
    const auto& tracked = ctx.state.requests.at(id);
    const auto access = tracked.request.access;
    const bool keeps_connection = access == core::access_mode::statement;
    if (access == core::access_mode::read || access == core::access_mode::write)
        release_connection(ctx, tracked.server, tracked.connection);
    else if (!keeps_connection)
        drop_connection(ctx, tracked.server, tracked.connection);
    if (in_transaction(access) && !keeps_connection)
        ctx.state.transactions.erase(*tracked.request.transaction);
    finish_not_run(ctx, id,
                   {error_kind::statement_failed,
                    "the backend server rejected the statement (" +
                        reply.message + "); correct it and send it again"},
                   std::nullopt);
}

void finish_busy(context& ctx, const core::request_id& id)
{
    const auto& tracked = ctx.state.requests.at(id);
    if (!in_transaction(tracked.request.access))
        release_connection(ctx, tracked.server, tracked.connection);
    retry_or_finish(ctx, id,
                    {error_kind::overloaded,
                     "all slots of server " + tracked.server.value +
                         " were taken; retry after the stated time"});
}

}  // namespace

void on_reply(context& ctx, const reply_received& event)
{
    const auto found = ctx.state.dispatches.find(event.dispatch);
    if (found == ctx.state.dispatches.end())
        return;
    const auto id = found->second;
    if (event.reply.id != id)
        return fail_dispatch(ctx, id, true,
                             "it carried the reply to another request");
    auto& tracked = ctx.state.requests.at(id);
    const bool ran = event.reply.status == core::reply_status::executed;
    // Only executed statements count towards the average service time.
    const auto slot_time = ctx.now - tracked.sent_at;
    end_dispatch(ctx, tracked, ran ? std::optional(slot_time) : std::nullopt);
    switch (event.reply.status)
    {
        case core::reply_status::executed:
            return finish_executed(ctx, id, event.reply);
        case core::reply_status::wrong_term:
        case core::reply_status::not_primary:
            return finish_wrong_term(ctx, id, event.reply);
        case core::reply_status::rejected:
            return finish_rejected(ctx, id, event.reply);
        case core::reply_status::busy:
            return finish_busy(ctx, id);
    }
}

}  // namespace godwitbarrow::serving::detail
