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

/// Whether a connection that is being closed still has bytes of an answer.
bool has_unsent_answers(app& it);

void open(app& it, const pooler::open_connection& what);
void send(app& it, const pooler::send_to_member& what);
void close_member(app& it, pooler::connection_number connection);

}  // namespace godwitbarrow::proxy::pooled
