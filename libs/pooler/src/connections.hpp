#pragma once

#include "output.hpp"

namespace godwitbarrow::pooler::detail
{

/// Number of connections to one member that this host may open.
std::size_t connection_limit(const state& all, const group& g);

/// Number of statements that this host runs concurrently on one member.
std::size_t running_limit(const state& all, const member& m);

/// Returns an idle connection of the member for the session's workspace,
/// preferring one that already has the session's values; 0 if there is none.
connection_number pick_idle(const state& all, const member& m,
                            const caller_session& s);

/// Whether this host has more connections to the member than its limit, which
/// shrinks when hosts are added.
bool is_surplus(const context& ctx, const backend_connection& c);

/// Whether the connection leads to a primary that must not be used any more.
bool is_on_revoked_primary(const context& ctx, const backend_connection& c);

/// Opens a connection for the workspace if the limits allow it and fewer than
/// `wanted` connections are being opened. At the limit, the least recently used
/// idle connection of another workspace is closed for it. Returns whether it
/// was opened.
bool open_within_limits(context& ctx, const group& g, member& m,
                        const core::workspace_id& workspace,
                        std::size_t wanted);

/// Closes the connection and removes it from the state.
void drop_connection(context& ctx, connection_number number);

/// Removes a connection that is already closed from the state.
void remove_connection(context& ctx, connection_number number);

/// Returns a connection to the pool once all its answers have arrived. Closes
/// it instead if its member is gone or leaving, if the host exceeds its limit
/// or if the setup of the connection failed.
void release_connection(context& ctx, connection_number number);

/// Rolls back the transaction on the connection and releases it.
void roll_back(context& ctx, connection_number number);

/// Returns a connection to the pool after its use. `left` is the state in which
/// the member left it; an open transaction is rolled back first.
void finish_connection(context& ctx, connection_number number,
                       session_state left);

/// Returns the statements that apply the session's values to the connection
/// and prepare the statement that is about to run.
std::vector<query> setup_statements(backend_connection& c,
                                    const caller_session& s);

}  // namespace godwitbarrow::pooler::detail
