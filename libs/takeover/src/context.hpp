#pragma once

#include "godwitbarrow/takeover/decide.hpp"

/// Shared by the parts of the takeover state machine.
namespace godwitbarrow::takeover::detail
{

struct context
{
    takeover_state& state;
    const takeover_settings& settings;
    core::time_point now;
    actions out;
};

void enter_phase(context& ctx, phase next);

void pause_for(context& ctx, std::chrono::milliseconds duration);

void report_step(context& ctx, std::string name, core::server_id server,
                 std::string detail = {});

/// Returns a term above all that this host knows of. Members ignore a pause or
/// a step-down at any other term.
core::term_number next_term(const takeover_state& state);

/// Whether replicas are paused for a comparison: those of a group whose commits
/// they acknowledge.
bool pauses_replication(const takeover_state& state);

bool is_leaving(const takeover_state& state, const core::server_id& id);

bool is_registered(const takeover_state& state, const core::server_id& id);

/// The primary to replace; empty if the group has none.
core::server_id suspected_primary(const takeover_state& state);

}  // namespace godwitbarrow::takeover::detail
