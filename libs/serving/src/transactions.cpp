#include <algorithm>
#include <utility>

#include "internal.hpp"

namespace godwitbarrow::serving::detail
{
namespace
{

using core::error_kind;

/// A rollback that takes longer is replaced by closing the connection.
constexpr std::chrono::milliseconds rollback_limit{2000};
/// Ended transactions that are remembered; bounds the memory.
constexpr std::size_t max_ended = 4096;

bool begun_here(const group_state& state, const core::transaction_id& id)
{
    const auto prefix = state.settings.self.value + "/";
    return id.value.compare(0, prefix.size(), prefix) == 0;
}

verdict examine_missing(const group_state& state,
                        const core::transaction_id& id)
{
    const auto& ended = state.ended;
    if (std::find(ended.begin(), ended.end(), id) != ended.end())
        return {ruling::refuse,
                {error_kind::transaction_lost,
                 "commit of transaction " + id.value +
                     " was sent before; read the data to learn whether it "
                     "took effect"},
                {},
                {},
                {},
                true};
    if (begun_here(state, id))
        return {ruling::refuse, transaction_lost("it is no longer open")};
    return {ruling::refuse,
            {error_kind::unknown_transaction,
             "no transaction " + id.value +
                 " is open here; send its statements with the id that begin "
                 "returned"}};
}

std::size_t open_transactions(const group_state& state,
                              const core::server_id& server)
{
    std::size_t n = 0;
    for (const auto& [id, it] : state.transactions)
        if (it.server == server)
            ++n;
    for (const auto& [dispatch, id] : state.dispatches)
    {
        const auto& it = state.requests.at(id);
        if (it.server == server &&
            it.request.access == core::access_mode::begin)
            ++n;
    }
    return n;
}

core::transaction_id new_transaction_id(group_state& state)
{
    return {state.settings.self.value + "/" +
            std::to_string(next_random(state.random))};
}

}  // namespace

core::error transaction_lost(const std::string& why)
{
    return {error_kind::transaction_lost, "the transaction was rolled back (" +
                                              why +
                                              "); start again from begin"};
}

verdict examine_transaction(const context& ctx, const tracked_request& it)
{
    if (!it.request.transaction)
        return {ruling::refuse,
                {error_kind::malformed_request,
                 "the request names no transaction; send the id that begin "
                 "returned"}};
    const auto& all = ctx.state.transactions;
    const auto found = all.find(*it.request.transaction);
    if (found == all.end())
        return examine_missing(ctx.state, *it.request.transaction);
    const auto& active = found->second.active;
    if (active && *active != it.request.id &&
        ctx.state.requests.at(*active).internal)
        return {ruling::refuse, transaction_lost("it was idle too long")};
    if (active && *active != it.request.id)
        return {ruling::refuse,
                {error_kind::conflict,
                 "another statement of the transaction is in progress; wait "
                 "for its answer"}};
    return {};
}

bool may_begin(const context& ctx, const core::server_id& server)
{
    // One connection for each slot stays free of transactions, so that other
    // requests never wait for an idle transaction.
    const auto& it = ctx.state.servers.at(server);
    const auto limit =
        admission::usable_limit(it.pool, ctx.state.settings.pool);
    const auto kept = std::min(it.queue.slots, limit - 1);
    return open_transactions(ctx.state, server) < limit - kept;
}

void begin_transaction(context& ctx, const core::request_id& id,
                       const core::backend_reply& reply)
{
    const auto& it = ctx.state.requests.at(id);
    const auto transaction = new_transaction_id(ctx.state);
    ctx.state.transactions.emplace(
        transaction,
        transaction_state{it.server, it.connection, it.sent_term,
                          it.request.importance, std::nullopt, ctx.now});
    const bool abandoned = it.caller_gone;
    finish_completed(ctx, id, {reply.rows, it.server, reply.at, transaction});
    if (abandoned)
        start_rollback(ctx, transaction);
}

void end_transaction(context& ctx, const core::transaction_id& id)
{
    const auto found = ctx.state.transactions.find(id);
    const auto it = found->second;
    ctx.state.transactions.erase(found);
    release_connection(ctx, it.server, it.connection);
}

void lose_transaction(context& ctx, const core::transaction_id& id,
                      const std::string& why)
{
    const auto found = ctx.state.transactions.find(id);
    if (found == ctx.state.transactions.end())
        return;
    const auto it = found->second;
    if (it.active)
    {
        auto& active = ctx.state.requests.at(*it.active);
        if (active.phase == request_phase::running)
            return fail_dispatch(ctx, *it.active, true, why);
    }
    ctx.state.transactions.erase(found);
    drop_connection(ctx, it.server, it.connection);
    if (it.active)
        finish_not_run(ctx, *it.active, transaction_lost(why), std::nullopt);
}

void note_commit_sent(context& ctx, const core::transaction_id& id)
{
    ctx.state.ended.push_back(id);
    if (ctx.state.ended.size() > max_ended)
        ctx.state.ended.pop_front();
}

void start_rollback(context& ctx, const core::transaction_id& id)
{
    const auto& transaction = ctx.state.transactions.at(id);
    tracked_request it;
    it.request.id = {"rollback/" + id.value};
    it.request.group = ctx.state.settings.group;
    it.request.importance = transaction.importance;
    it.request.access = core::access_mode::rollback;
    it.request.transaction = id;
    it.request.deadline = ctx.now + rollback_limit;
    it.server = transaction.server;
    it.arrived = ctx.now;
    it.internal = true;
    const auto request = it.request.id;
    ctx.state.requests.emplace(request, std::move(it));
    consider(ctx, request);
}

void roll_back_idle(context& ctx)
{
    const auto limit = ctx.state.settings.transaction_idle_limit;
    std::vector<core::transaction_id> idle;
    for (const auto& [id, it] : ctx.state.transactions)
        if (!it.active && ctx.now >= it.idle_since + limit)
            idle.push_back(id);
    for (const auto& id : idle)
        start_rollback(ctx, id);
}

}  // namespace godwitbarrow::serving::detail
