#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "godwitbarrow/failover/decide.hpp"

/// Parts of `decide`; each file implements one phase of section 9 of the
/// design.
namespace godwitbarrow::failover::detail
{

/// State, time and output of one call of `decide`.
struct decision_context
{
    group_state& state;
    core::time_point now;
    std::vector<action>& out;
};

// state.cpp

std::size_t majority(const group_state& state);
/// State of the primary of the view, or null if it is not a member.
const member_state* find_primary(const group_state& state);
/// Returns a pseudo-random duration between one half of `longest` and
/// `longest`.
std::chrono::milliseconds jittered(group_state& state,
                                   std::chrono::milliseconds longest);
core::attempt_id next_attempt(group_state& state);
void emit_progress(decision_context& context, report_progress::step reached,
                   core::term_number term, std::string detail);
/// Abandons the current attempt. Its effects remain; the next attempt handles
/// them.
void abandon(decision_context& context, const std::string& reason);

// view.cpp

/// Replaces the view if the given one is newer; returns whether it was
/// replaced.
bool update_view(decision_context& context, core::term_number term,
                 const core::server_id& primary);
/// Like `update_view`, and publishes a newer view to this host and its peers.
void update_and_publish_view(decision_context& context, core::term_number term,
                             const core::server_id& primary);
void record_status(decision_context& context, const status_received& update);
void send_follow(decision_context& context, const core::server_id& server);

// suspect.cpp

/// Time at which the primary is suspected because no status has arrived.
std::optional<core::time_point> silence_deadline(const group_state& state);
/// Time at which the primary is suspected because replicas lost contact to it,
/// according to the statuses received so far.
std::optional<core::time_point> contact_deadline(const group_state& state);
bool suspects_primary(const group_state& state, core::time_point now);
void discard_expired_reports(decision_context& context);
void record_report(decision_context& context, const suspicion_reported& report);
void report_suspicion(decision_context& context);

// observe.cpp

void begin_round(decision_context& context);
void record_observation(decision_context& context,
                        const observation_received& observation);
void evaluate_round(decision_context& context);

// claim.cpp

void begin_claim(decision_context& context, cause reason);
void continue_claim(decision_context& context);
/// Time at which the attempt that claimed a row without a primary counts as
/// stopped.
core::time_point takeover_at(const group_state& state);
/// Whether the status of a majority is known, as needed to resolve such a row.
bool knows_majority(const group_state& state);
/// Whether the row names no primary and its term is newer than that of the
/// view.
bool unresolved(const group_state& state);

// row.cpp

void record_row(decision_context& context, const row_read& result);
void record_write(decision_context& context, const row_written& result);
void request_row(decision_context& context);
void write(decision_context& context, store_call call, group_row row);
bool store_ready(const group_state& state, core::time_point now);
/// Whether a member or the view is in a newer term than the known row.
bool row_is_behind(const group_state& state);
/// Reads the row if needed and writes a pending publication.
void maintain_row(decision_context& context);

// promote.cpp

void begin_fencing(decision_context& context);
void record_fence(decision_context& context, const fence_answered& answer);
void continue_fencing(decision_context& context);
void record_promotion(decision_context& context,
                      const promote_answered& answer);
void finish_promotion(decision_context& context);
void continue_promotion(decision_context& context);

// choose.cpp

/// Chooses a fenced member that holds all acknowledged writes, with a
/// preference for members that are not leaving. Requires a fenced majority.
core::server_id choose_primary(const group_state& state);

// review.cpp

/// Checks whether an attempt or an observation round must start; called while
/// none is in progress.
void review_group(decision_context& context);

}  // namespace godwitbarrow::failover::detail
