#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "godwitbarrow/failover/decide.hpp"

/// Parts of `decide`; each file holds one phase of section 9 of the design.
namespace godwitbarrow::failover::detail
{

/// One call of `decide`.
struct step
{
    group_state& state;
    core::time_point now;
    std::vector<action>& out;
};

// state.cpp

std::size_t majority(const group_state& state);
/// The state of the primary of the view, if it is a member.
const member_state* find_primary(const group_state& state);
/// Between one half of `longest` and all of it.
std::chrono::milliseconds jittered(group_state& state,
                                   std::chrono::milliseconds longest);
core::attempt_id next_attempt(group_state& state);
void note(step& at, report_progress::step reached, core::term_number term,
          std::string detail);
/// Gives the running attempt up. What it has changed is left to the next one.
void abandon(step& at, const std::string& reason);

// view.cpp

/// Takes the view over if it is newer than the known one.
bool learn_view(step& at, core::term_number term,
                const core::server_id& primary);
/// Like `learn_view`, and tells this host and its peers.
void adopt_view(step& at, core::term_number term,
                const core::server_id& primary);
void record_status(step& at, const status_received& it);
void tell_to_follow(step& at, const core::server_id& server);

// suspect.cpp

/// When the silence of the primary becomes suspicious.
std::optional<core::time_point> silence_deadline(const group_state& state);
/// When lost contact of the replicas becomes suspicious, by the reports that
/// are known.
std::optional<core::time_point> contact_deadline(const group_state& state);
bool suspects_primary(const group_state& state, core::time_point now);
void forget_old_reports(step& at);
void record_report(step& at, const suspicion_reported& it);
void report_suspicion(step& at);

// observe.cpp

void begin_round(step& at);
void record_observation(step& at, const observation_received& it);
void evaluate_round(step& at);

// claim.cpp

void begin_claim(step& at, cause reason);
void continue_claim(step& at);
/// When the attempt behind a row without primary counts as stopped.
core::time_point takeover_at(const group_state& state);
/// Whether enough members are known to resolve such a row.
bool knows_majority(const group_state& state);
/// Whether the row names no primary and its term is newer than the view.
bool unresolved(const group_state& state);

// row.cpp

void record_row(step& at, const row_read& it);
void record_write(step& at, const row_written& it);
void request_row(step& at);
void write(step& at, store_call call, group_row row);
bool store_ready(const group_state& state, core::time_point now);
/// Whether the members or the view are ahead of the known row.
bool row_is_behind(const group_state& state);
/// Reads the row if needed, and writes a pending publication.
void keep_row(step& at);

// promote.cpp

void begin_fencing(step& at);
void record_fence(step& at, const fence_answered& it);
void continue_fencing(step& at);
void record_promotion(step& at, const promote_answered& it);
void finish_promotion(step& at);
void continue_promotion(step& at);

// choose.cpp

/// The member of the fenced ones that holds all acknowledged writes; prefers
/// members that are not leaving. Needs a fenced majority.
core::server_id choose_primary(const group_state& state);

// review.cpp

/// Looks for a reason to act while no attempt runs.
void review_group(step& at);

}  // namespace godwitbarrow::failover::detail
