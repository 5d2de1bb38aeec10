#pragma once

#include "output.hpp"

namespace godwitbarrow::pooler::detail
{

/// Connections of one member that this host may use.
std::size_t connection_limit(const state& all, const group& g);

/// Statements that this host keeps at one member at a time.
std::size_t running_limit(const state& all, const member& m);

/// An idle connection of the member, preferring one that has the session's
/// values already; 0 if there is none.
connection_number pick_idle(const state& all, const member& m,
                            const caller_session& s);

/// Opens a connection if the limits allow it and fewer are being opened than
/// statements wait.
void open_if_allowed(context& in, group& g, member& m);

/// Closes and forgets the connection.
void drop_connection(context& in, connection_number number);

/// Forgets a connection that is closed already.
void forget_connection(context& in, connection_number number);

/// Returns a connection whose answers are complete to the idle ones.
void release_connection(context& in, connection_number number);

/// Rolls the transaction on the connection back and releases it.
void roll_back(context& in, connection_number number);

/// Statements that give the connection the values of the session and prepare
/// the statement that it is about to run.
std::vector<query> setup_statements(backend_connection& c,
                                    const caller_session& s);

}  // namespace godwitbarrow::pooler::detail
