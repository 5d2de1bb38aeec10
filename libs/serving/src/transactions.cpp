#include <algorithm>
#include <charconv>
#include <utility>

#include "internal.hpp"

namespace godwitbarrow::serving::detail
{
namespace
{

using core::error_kind;

/// If a rollback takes longer, the connection is closed instead.
constexpr std::chrono::milliseconds rollback_limit{2000};
/// Number of ended transactions that are remembered; bounds memory use.
constexpr std::size_t max_ended_transactions = 4096;

/// Returns nothing if the id was not issued by a host of this name.
std::optional<std::uint64_t> parse_transaction_number(
    const group_state& state, const core::transaction_id& id)
{
    const auto prefix = state.settings.self.value + "/";
    if (id.value.compare(0, prefix.size(), prefix) != 0)
        return std::nullopt;
    std::uint64_t n = 0;
    const auto end = id.value.data() + id.value.size();
    const auto parsed =
        std::from_chars(id.value.data() + prefix.size(), end, n);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return n;
}

/// Whether this run of the process can rule out that a commit of the
/// transaction was sent.
bool known_not_committed(const group_state& state,
                         const core::transaction_id& id, std::uint64_t n)
{
    const auto& ended_transactions = state.ended_transactions;
    const bool this_run =
        n >> transaction_bits == state.next_transaction >> transaction_bits;
    return this_run && n > state.highest_dropped_transaction &&
           std::find(ended_transactions.begin(), ended_transactions.end(),
                     id) == ended_transactions.end();
}

eligibility check_closed_transaction(const group_state& state,
                                     const tracked_request& tracked)
{
    const auto& id = *tracked.request.transaction;
    const auto n = parse_transaction_number(state, id);
    if (!n)
        return {disposition::refuse,
                {error_kind::unknown_transaction,
                 "no transaction " + id.value +
                     " is open here; send its statements with the id that "
                     "begin returned"}};
    if (known_not_committed(state, id, *n))
        return {disposition::refuse,
                transaction_lost_error("it is no longer open")};
    return {disposition::refuse,
            {error_kind::transaction_lost,
             "transaction " + id.value +
                 " has ended and its commit may have been sent before; read "
                 "the data to learn whether it took effect"},
            {},
            {},
            {},
            tracked.request.access == core::access_mode::commit};
}

std::size_t open_transactions(const group_state& state,
                              const core::server_id& server)
{
    std::size_t n = 0;
    for (const auto& [id, transaction] : state.transactions)
        if (transaction.server == server)
            ++n;
    for (const auto& [dispatch, id] : state.dispatches)
    {
        const auto& tracked = state.requests.at(id);
        if (tracked.server == server &&
            tracked.request.access == core::access_mode::begin)
            ++n;
    }
    return n;
}

core::transaction_id new_transaction_id(group_state& state)
{
    return {state.settings.self.value + "/" +
            std::to_string(state.next_transaction++)};
}

}  // namespace

core::error transaction_lost_error(const std::string& cause)
{
    return {error_kind::transaction_lost, "the transaction was rolled back (" +
                                              cause +
                                              "); start again from begin"};
}

eligibility check_transaction(const context& ctx,
                              const tracked_request& tracked)
{
    if (!tracked.request.transaction)
        return {disposition::refuse,
                {error_kind::malformed_request,
                 "the request names no transaction; send the id that begin "
                 "returned"}};
    const auto& all = ctx.state.transactions;
    const auto found = all.find(*tracked.request.transaction);
    if (found == all.end())
        return check_closed_transaction(ctx.state, tracked);
    const auto& active = found->second.active;
    if (active && *active != tracked.request.id &&
        ctx.state.requests.at(*active).internal)
        return {disposition::refuse,
                transaction_lost_error("it was idle too long")};
    if (active && *active != tracked.request.id)
        return {disposition::refuse,
                {error_kind::conflict,
                 "another statement of the transaction is in progress; wait "
                 "for its answer"}};
    return {};
}

bool may_begin_transaction(const context& ctx, const core::server_id& server)
{
    // One connection per slot is kept free of transactions, so that other
    // requests never wait for an idle transaction.
    const auto& backend = ctx.state.servers.at(server);
    const auto limit =
        admission::usable_limit(backend.pool, ctx.state.settings.pool);
    const auto reserved = std::min(backend.queue.slots, limit - 1);
    return open_transactions(ctx.state, server) < limit - reserved;
}

void begin_transaction(context& ctx, const core::request_id& id,
                       const core::backend_reply& reply)
{
    const auto& tracked = ctx.state.requests.at(id);
    const auto transaction = new_transaction_id(ctx.state);
    ctx.state.transactions.emplace(
        transaction,
        transaction_state{tracked.server, tracked.connection, tracked.sent_term,
                          tracked.request.importance, std::nullopt, ctx.now});
    const bool abandoned = tracked.caller_gone;
    finish_completed(ctx, id,
                     {reply.rows, tracked.server, reply.at, transaction});
    if (abandoned)
        start_rollback(ctx, transaction);
}

void end_transaction(context& ctx, const core::transaction_id& id)
{
    const auto found = ctx.state.transactions.find(id);
    const auto transaction = found->second;
    ctx.state.transactions.erase(found);
    release_connection(ctx, transaction.server, transaction.connection);
}

void abort_transaction(context& ctx, const core::transaction_id& id,
                       const std::string& cause)
{
    const auto found = ctx.state.transactions.find(id);
    if (found == ctx.state.transactions.end())
        return;
    const auto transaction = found->second;
    if (transaction.active)
    {
        auto& active = ctx.state.requests.at(*transaction.active);
        if (active.phase == request_phase::running)
            return fail_dispatch(ctx, *transaction.active, true, cause);
    }
    ctx.state.transactions.erase(found);
    drop_connection(ctx, transaction.server, transaction.connection);
    if (transaction.active)
        finish_not_run(ctx, *transaction.active, transaction_lost_error(cause),
                       std::nullopt);
}

void record_commit_sent(context& ctx, const core::transaction_id& id)
{
    auto& state = ctx.state;
    state.ended_transactions.push_back(id);
    if (state.ended_transactions.size() <= max_ended_transactions)
        return;
    const auto n =
        parse_transaction_number(state, state.ended_transactions.front())
            .value_or(0);
    state.highest_dropped_transaction =
        std::max(state.highest_dropped_transaction, n);
    state.ended_transactions.pop_front();
}

void start_rollback(context& ctx, const core::transaction_id& id)
{
    const auto& transaction = ctx.state.transactions.at(id);
    tracked_request tracked;
    tracked.request.id = {"rollback/" + id.value};
    tracked.request.group = ctx.state.settings.group;
    tracked.request.importance = transaction.importance;
    tracked.request.access = core::access_mode::rollback;
    tracked.request.transaction = id;
    tracked.request.deadline = ctx.now + rollback_limit;
    tracked.server = transaction.server;
    tracked.arrived = ctx.now;
    tracked.internal = true;
    const auto rollback_id = tracked.request.id;
    ctx.state.requests.emplace(rollback_id, std::move(tracked));
    schedule_request(ctx, rollback_id);
}

void roll_back_idle(context& ctx)
{
    const auto limit = ctx.state.settings.transaction_idle_limit;
    std::vector<core::transaction_id> idle;
    for (const auto& [id, transaction] : ctx.state.transactions)
        if (!transaction.active && ctx.now >= transaction.idle_since + limit)
            idle.push_back(id);
    for (const auto& id : idle)
        start_rollback(ctx, id);
}

}  // namespace godwitbarrow::serving::detail
