#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "godwitbarrow/serving/events.hpp"
#include "godwitbarrow/serving/state.hpp"

namespace godwitbarrow::serving::detail
{

/// The state, the time of the event, and the actions collected so far.
struct context
{
    group_state& state;
    core::time_point now;
    std::vector<action> out;
};

// eligibility.cpp: decides whether a request may be sent now.

enum class disposition
{
    /// May be queued, or sent if it is already queued.
    eligible,
    /// Waits for a status or a view, at most until `hold_until`.
    hold,
    /// Another member or host may be able to serve the request.
    redirect,
    refuse
};

struct eligibility
{
    disposition kind = disposition::eligible;
    core::error reason;
    /// For `hold`.
    core::time_point hold_until{};
    /// For `hold`: the view must be of at least this term.
    std::optional<core::term_number> refresh{};
    /// For `refuse`.
    std::optional<std::chrono::milliseconds> retry_after{};
    /// For `refuse`: the outcome of an earlier attempt is unknown.
    bool unknown = false;
};

eligibility check_eligibility(const context& ctx,
                              const tracked_request& tracked);
bool in_transaction(core::access_mode access);
std::size_t reachable_members(const group_state& state);
/// Number of members that form a majority of the group.
std::size_t majority(const group_state& state);
/// Expected time until a write is confirmed, estimated from recent writes and
/// from those waiting for confirmation.
core::duration estimated_confirmation(const context& ctx);

// arrival.cpp: accepts, holds and queues requests.

void on_arrival(context& ctx, const request_arrived& event);
void on_caller_gone(context& ctx, const caller_gone& event);
/// Checks a request that is neither queued nor running, and queues, holds,
/// redirects or answers it. May erase the request.
void schedule_request(context& ctx, const core::request_id& id);
/// Reschedules the held requests after the known state has changed.
void reschedule_held(context& ctx);
/// Checks again whether requests that wait for a slot or for the end of a
/// back-off can be served here; reschedules those that cannot.
void recheck_waiting(context& ctx);
void set_due(context& ctx, tracked_request& tracked, core::time_point due);

// outcome.cpp: completes requests. Each function erases the request.

void finish(context& ctx, const core::request_id& id, core::outcome result);
/// Answers "unknown" instead if the request may have run.
void finish_not_run(context& ctx, const core::request_id& id,
                    core::error reason,
                    std::optional<std::chrono::milliseconds> retry_after);
void finish_unknown(context& ctx, const core::request_id& id,
                    core::error reason);
/// Answers "unknown" instead if the request may have run.
void finish_redirect(context& ctx, const core::request_id& id,
                     core::error reason);
void finish_completed(context& ctx, const core::request_id& id,
                      core::completed result);

// dispatch.cpp: sends queued requests and handles failed dispatches.

/// Dispatches queued requests on all servers, as far as free slots and
/// connections allow.
void dispatch_waiting(context& ctx);
/// Removes the dispatch and frees its slot. The connection remains busy.
void end_dispatch(context& ctx, tracked_request& tracked,
                  std::optional<core::duration> slot_time);
/// Closes the connection, and retries or answers the request.
void fail_dispatch(context& ctx, const core::request_id& id, bool any_byte_sent,
                   const std::string& message);
void on_dispatch_failed(context& ctx, const dispatch_failed& event);
/// Schedules a retry after a back-off if the retry budget and the deadline
/// allow it and the request may be sent twice; otherwise answers the request.
void retry_or_finish(context& ctx, const core::request_id& id,
                     core::error reason);

// replies.cpp

void on_reply(context& ctx, const reply_received& event);

// confirmation.cpp

void begin_confirmation(context& ctx, tracked_request& tracked,
                        const core::backend_reply& reply);
/// Answers the writes that a majority of the members hold.
void complete_confirmed_writes(context& ctx);
void expire_confirmation(context& ctx, const core::request_id& id);
/// Ends the confirmations of terms older than that of the view.
void end_old_confirmations(context& ctx);
void update_confirmation_delay(context& ctx, core::duration delay);

// transactions.cpp

eligibility check_transaction(const context& ctx,
                              const tracked_request& tracked);
/// Whether the connection limit of the server allows one more transaction.
bool may_begin_transaction(const context& ctx, const core::server_id& server);
void begin_transaction(context& ctx, const core::request_id& id,
                       const core::backend_reply& reply);
/// Removes the transaction after a commit or rollback and returns its
/// connection to the pool.
void end_transaction(context& ctx, const core::transaction_id& id);
/// Closes the connection, which rolls the transaction back, and answers the
/// active request of the transaction.
void abort_transaction(context& ctx, const core::transaction_id& id,
                       const std::string& cause);
void record_commit_sent(context& ctx, const core::transaction_id& id);
/// Rolls back a transaction whose caller will not continue it.
void start_rollback(context& ctx, const core::transaction_id& id);
void roll_back_idle(context& ctx);
core::error transaction_lost_error(const std::string& cause);

/// Number of low bits of a transaction number that hold the counter; the bits
/// above them identify the run of the process.
constexpr unsigned transaction_bits = 32;

// connections.cpp

void on_opened(context& ctx, const connection_opened& event);
void on_closed(context& ctx, const connection_closed& event);
/// Returns a connection that has no open transaction to the pool.
void release_connection(context& ctx, const core::server_id& server,
                        connection_number connection);
void drop_connection(context& ctx, const core::server_id& server,
                     connection_number connection);
/// Opens, probes and closes connections.
void maintain_connections(context& ctx);
void record_silence(context& ctx, const core::server_id& server,
                    core::time_point since);

// view.cpp: tracks members, terms and ownership.

void on_status(context& ctx, const status_received& event);
void on_status_missed(context& ctx, const status_missed& event);
void on_view(context& ctx, const view_changed& event);
void on_leaving(context& ctx, const server_leaving& event);
void on_ownership(context& ctx, const ownership_changed& event);
/// Advances the known log position of a member after its reply to a statement.
void update_position(context& ctx, const core::server_id& server,
                     core::log_position at);

// random.cpp

std::uint64_t next_random(std::uint64_t& state);
/// Uniformly distributed in [0, 1).
double next_fraction(std::uint64_t& state);

inline bool is_primary(const group_state& state, const core::server_id& server)
{
    return state.view.primary && *state.view.primary == server;
}

/// Rounds up, so that a retry is never made too early.
inline std::chrono::milliseconds to_milliseconds(core::duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

}  // namespace godwitbarrow::serving::detail
