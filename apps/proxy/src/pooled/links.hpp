#pragma once

#include "app.hpp"

/// Connections of callers and to members.
namespace godwitbarrow::proxy::pooled
{

/// Listens for callers. Errors: invalid_settings if the address is taken.
core::result<std::monostate> listen_for_callers(app& it);

void accept(app& it, const pooler::accept_caller& what);
void refuse(app& it, const pooler::refuse_caller& what);
void reply(app& it, const pooler::reply_to_caller& what);
void close_session(app& it, pooler::session_number session);

/// Handles a line of a caller, which may be connected to another host.
/// `started` tells whether its session has begun and is set by the first line.
void take_caller_line(app& it, pooler::session_number session, bool& started,
                      std::string_view line, bool relayed);

/// Ends the session and closes the connection of its caller at once.
void disconnect_caller(app& it, pooler::session_number session);

/// Sends bytes to a caller that is connected to this host.
void send_to_caller(app& it, pooler::session_number session, std::string bytes);

/// Whether a connection that is being closed still has bytes of an answer.
bool has_unsent_answers(app& it);

void open(app& it, const pooler::open_connection& what);
void send(app& it, const pooler::send_to_member& what);
void close_member(app& it, pooler::connection_number connection);

}  // namespace godwitbarrow::proxy::pooled
