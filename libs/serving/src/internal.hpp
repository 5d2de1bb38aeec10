#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "godwitbarrow/serving/events.hpp"
#include "godwitbarrow/serving/state.hpp"

namespace godwitbarrow::serving::detail
{

/// The state, the time of the event and the actions collected so far.
struct context
{
    group_state& state;
    core::time_point now;
    std::vector<action> out;
};

// examine.cpp: whether a request may be sent now.

enum class ruling
{
    /// May be queued, or sent if it was queued.
    eligible,
    /// Waits for a status or a view, at most until `hold_until`.
    hold,
    /// Another member or host may be able to serve it.
    redirect,
    refuse
};

struct verdict
{
    ruling kind = ruling::eligible;
    core::error reason;
    /// For `hold`.
    core::time_point hold_until{};
    /// For `hold`: the view must be at least of this term.
    std::optional<core::term_number> refresh{};
    /// For `refuse`.
    std::optional<std::chrono::milliseconds> retry_after{};
    /// For `refuse`: the outcome of an earlier attempt is not known.
    bool unknown = false;
};

verdict examine(const context& ctx, const tracked_request& it);
bool in_transaction(core::access_mode it);
std::size_t reachable_members(const group_state& state);
/// Members of the group that make a majority.
std::size_t majority(const group_state& state);
/// Time until a write would be confirmed, from recent writes and those that
/// wait now.
core::duration estimated_confirmation(const context& ctx);

// arrival.cpp: arrival, waiting, and the way into the queue.

void on_arrival(context& ctx, const request_arrived& it);
void on_caller_gone(context& ctx, const caller_gone& it);
/// Examines a request that is neither queued nor running, and queues, holds
/// or answers it. May erase the request.
void consider(context& ctx, const core::request_id& id);
/// Examines held requests again after new knowledge.
void reconsider_held(context& ctx);
/// Examines all requests that wait for a slot or a back-off again.
void reconsider_waiting(context& ctx);
void set_due(context& ctx, tracked_request& it, core::time_point due);

// outcome.cpp: the end of a request. All erase the request.

void finish(context& ctx, const core::request_id& id, core::outcome result);
/// Becomes "unknown" if the request may have run.
void finish_not_run(context& ctx, const core::request_id& id,
                    core::error reason,
                    std::optional<std::chrono::milliseconds> retry_after);
void finish_unknown(context& ctx, const core::request_id& id,
                    core::error reason);
/// Becomes "unknown" if the request may have run.
void finish_redirect(context& ctx, const core::request_id& id,
                     core::error reason);
void finish_completed(context& ctx, const core::request_id& id,
                      core::completed result);

// dispatch.cpp: from the queue to the connection, and lost dispatches.

/// Dispatches what free slots and connections allow, for all servers.
void pump(context& ctx);
/// Removes the dispatch and frees its slot; the connection stays busy.
void end_dispatch(context& ctx, tracked_request& it,
                  std::optional<core::duration> held);
/// Closes the connection and retries or answers the request.
void fail_dispatch(context& ctx, const core::request_id& id, bool any_byte_sent,
                   const std::string& message);
void on_dispatch_failed(context& ctx, const dispatch_failed& it);
/// Sends the request again after a back-off if budget and deadline allow and
/// it may be sent twice; answers it otherwise.
void retry_or_finish(context& ctx, const core::request_id& id,
                     core::error reason);

// replies.cpp

void on_reply(context& ctx, const reply_received& it);

// confirmation.cpp

void begin_confirmation(context& ctx, tracked_request& it,
                        const core::backend_reply& reply);
/// Answers the writes that a majority holds.
void confirm(context& ctx);
void expire_confirmation(context& ctx, const core::request_id& id);
/// Ends the confirmations of terms before the view's.
void end_old_confirmations(context& ctx);
void note_confirmation_delay(context& ctx, core::duration delay);

// transactions.cpp

verdict examine_transaction(const context& ctx, const tracked_request& it);
/// Whether the server has a connection to spare for one more transaction.
bool may_begin(const context& ctx, const core::server_id& server);
void begin_transaction(context& ctx, const core::request_id& id,
                       const core::backend_reply& reply);
/// Gives the connection back after a commit or rollback.
void end_transaction(context& ctx, const core::transaction_id& id);
/// Closes the connection, which rolls the transaction back, and answers its
/// active request.
void lose_transaction(context& ctx, const core::transaction_id& id,
                      const std::string& why);
void note_commit_sent(context& ctx, const core::transaction_id& id);
/// Rolls a transaction back that nobody will continue.
void start_rollback(context& ctx, const core::transaction_id& id);
void roll_back_idle(context& ctx);
core::error transaction_lost(const std::string& why);

// connections.cpp

void on_opened(context& ctx, const connection_opened& it);
void on_closed(context& ctx, const connection_closed& it);
/// Returns a connection without a transaction to the pool.
void release_connection(context& ctx, const core::server_id& server,
                        connection_number connection);
void drop_connection(context& ctx, const core::server_id& server,
                     connection_number connection);
/// Opens, probes and closes connections.
void maintain_connections(context& ctx);
void note_silence(context& ctx, const core::server_id& server,
                  core::time_point since);

// view.cpp: knowledge about members, terms and owners.

void on_status(context& ctx, const status_received& it);
void on_status_missed(context& ctx, const status_missed& it);
void on_view(context& ctx, const view_changed& it);
void on_leaving(context& ctx, const server_leaving& it);
void on_ownership(context& ctx, const ownership_changed& it);
/// Raises the known position of a member after its reply to a statement.
void note_position(context& ctx, const core::server_id& server,
                   core::log_position at);

// random.cpp

std::uint64_t next_random(std::uint64_t& state);
/// Uniform in [0, 1).
double next_fraction(std::uint64_t& state);

inline bool is_primary(const group_state& state, const core::server_id& it)
{
    return state.view.primary && *state.view.primary == it;
}

/// Rounded up, so that a retry never comes too early.
inline std::chrono::milliseconds to_milliseconds(core::duration it)
{
    return std::chrono::ceil<std::chrono::milliseconds>(it);
}

}  // namespace godwitbarrow::serving::detail
