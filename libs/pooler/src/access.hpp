#pragma once

#include "output.hpp"

/// What the configuration allows a session.
namespace godwitbarrow::pooler::detail
{

/// Applies the currently configured route, but not inside a transaction.
/// Returns false if the database has no route.
bool update_route(const state& all, caller_session& s);

/// Applies the workspace that the configuration gives the key of the session.
/// Returns false if the session is not admitted any more, or if an open
/// transaction belongs to another workspace.
bool update_workspace(const state& all, caller_session& s);

}  // namespace godwitbarrow::pooler::detail
