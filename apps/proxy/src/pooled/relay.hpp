#pragma once

#include <string>
#include <string_view>

#include "app.hpp"
#include "godwitbarrow/relay/messages.hpp"

/// Sessions that an owner of their group serves for the host that holds the
/// connection of the caller. The functions about one session return false if
/// it is not relayed.
namespace godwitbarrow::proxy::pooled
{

/// Handles messages of other hosts. Call before `start_mesh`.
void start_relaying(app& it);

/// Tells the other hosts that this one is shutting down, and disconnects its
/// callers whose sessions are idle from now on.
void stop_relaying(app& it);

/// Sessions of callers of this host that other hosts serve.
std::size_t count_relayed_callers(app& it);

/// Ends these sessions; outstanding statements are answered with what is known
/// of them.
void end_relayed_callers(app& it);

/// Whether items wait for a host to take others.
bool has_unsent_items(app& it);

/// Entry host: hands a new session over to an owner of the group of its
/// database, unless this host is to serve it.
bool relay_session(app& it, pooler::session_number session,
                   const std::string& database, std::string_view line);
bool relay_line(app& it, pooler::session_number session, std::string_view line);
/// The caller has disconnected.
bool end_relayed_caller(app& it, pooler::session_number session);

/// Owner: sends the answer to the caller's host. `idle` tells whether the
/// session is outside a transaction.
bool answer_relayed(app& it, pooler::session_number session, std::string bytes,
                    bool idle);
/// Owner: ends the session after the answers that were sent.
bool close_relayed(app& it, pooler::session_number session);

namespace detail
{

/// Queues the item for the host. What accumulates while the event loop handles
/// other events, or until the host has taken earlier items, is sent as one
/// message.
void send_item(app& it, const core::host_id& to, relay::item what);

/// Called without locks.
void take_answer(app& it, const core::host_id& from, relay::item what);
void take_close(app& it, const core::host_id& from, const relay::item& what);
/// Ends the sessions that the host serves. Outstanding statements are answered
/// with what is known of them.
void lose_owner(app& it, const core::host_id& owner, const char* reason);
/// Disconnects idle callers whose owner or whose own host is shutting down.
void end_draining_callers(app& it);

void take_from_entry(app& it, const core::host_id& from,
                     const relay::item& what);
void lose_entry(app& it, const core::host_id& entry);
/// Treats the sessions of the host as during a shutdown of this one.
void drain_entry(app& it, const core::host_id& entry);

}  // namespace detail
}  // namespace godwitbarrow::proxy::pooled
