#pragma once

#include <optional>
#include <vector>

#include "output.hpp"

/// Choice of the member and the connection for a statement. Nothing here
/// changes the state.
namespace godwitbarrow::pooler::detail
{

/// A member and an idle connection on which a queued statement can start.
struct assignment
{
    core::server_id server;
    connection_number connection = 0;
};

/// What the search for a member and a connection has found.
struct assignment_search
{
    /// Absent if the statement cannot start now.
    std::optional<assignment> found;
    /// Members that were passed over because no idle connection to them suits
    /// the statement, best first.
    std::vector<core::server_id> unconnected;
    /// The primary, if only it may run the statement.
    std::optional<core::server_id> primary;
};

/// Searches an idle connection for the current statement of the session.
assignment_search find_assignment(const context& ctx, const group& g,
                                  const caller_session& s);

}  // namespace godwitbarrow::pooler::detail
