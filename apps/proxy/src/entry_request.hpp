#pragma once

#include "app.hpp"
#include "godwitbarrow/session/token.hpp"

/// Parts of the request path at the entry host that need no I/O.
namespace godwitbarrow::proxy
{

/// Fills in rank and deadline from the settings. Returns an error if the
/// settings do not have the kind or the group.
std::optional<core::error> complete_request(const settings::settings& of,
                                            gateway::parsed_request& it);

/// An error if the token would exceed its bounds after a request to the group:
/// the answer could then not carry what the session has to see later.
std::optional<core::error> check_token_room(const session::token& it,
                                            const core::group_id& group);

/// The members that may serve the request, best first.
std::vector<core::server_id> list_candidates(app& it,
                                             const settings::settings& of,
                                             const group_ptr& group,
                                             const core::request& what);

/// An id that no other request of the fleet has: callers may use the same id
/// twice.
core::request_id attempt_request_id(app& it, const core::request_id& caller_id,
                                    unsigned attempt);

/// The host that holds the connection of a transaction; absent if the id has
/// not the form "host/number".
std::optional<core::host_id> host_of_transaction(
    const core::transaction_id& it);

/// Counts a request towards the limit of its team; false if the limit is
/// reached.
bool admit_team(app& it, const settings_ptr& of, const std::string& kind);
core::outcome team_limit_reached(const std::string& kind);

/// Updates the metrics and the load of the team.
void count_result(app& it, const settings_ptr& of, const core::request& what,
                  const core::outcome& result, core::time_point started);

/// Logs an unknown outcome as a warning, any other one for debugging.
void log_result(const core::request_id& caller_id, const core::request& what,
                const core::outcome& result);

}  // namespace godwitbarrow::proxy
