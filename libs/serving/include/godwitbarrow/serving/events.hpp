#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "godwitbarrow/core/backend_reply.hpp"
#include "godwitbarrow/core/request.hpp"

/// Events and actions of the state machine for one database group on one host.
/// Adapters turn I/O into events and carry out the actions.
namespace godwitbarrow::serving
{

/// Identifies one use of a connection for one request. Unique within a group
/// state and never reused.
using dispatch_number = std::uint64_t;
/// Identifies a connection to a backend server; unique within a group state.
using connection_number = std::uint64_t;

// Events.

/// A request for a server that this host owns.
struct request_arrived
{
    core::request request;
    core::server_id server;
};

struct reply_received
{
    dispatch_number dispatch = 0;
    core::backend_reply reply;
};

/// The connection failed, or the deadline passed, before the complete reply was
/// received.
struct dispatch_failed
{
    dispatch_number dispatch = 0;
    /// Whether at least one byte of the statement was passed to the operating
    /// system.
    bool any_byte_sent = false;
    std::string message;
};

struct connection_opened
{
    core::server_id server;
    connection_number connection = 0;
};

/// An attempt to open failed, or an idle connection was found closed.
struct connection_closed
{
    core::server_id server;
    connection_number connection = 0;
};

/// A member reported its status on a control connection.
struct status_received
{
    core::server_id server;
    core::member_status status;
    /// When the status request was sent, according to the clock of this host.
    core::time_point requested_at;
};

/// The member did not report a status within the timeout.
struct status_missed
{
    core::server_id server;
};

/// This host learned of the primary of a term.
struct view_changed
{
    core::term_number term = 0;
    std::optional<core::server_id> primary;
};

struct server_leaving
{
    core::server_id server;
    bool leaving = true;
};

/// The set of servers that this host owns changed.
struct ownership_changed
{
    std::vector<core::server_id> owned;
};

/// The caller of a request disconnected; the answer is no longer needed.
struct caller_gone
{
    core::request_id id;
};

/// Time has passed; deadlines and idle limits are checked.
struct tick
{
};

using event =
    std::variant<request_arrived, reply_received, dispatch_failed,
                 connection_opened, connection_closed, status_received,
                 status_missed, view_changed, server_leaving, ownership_changed,
                 caller_gone, tick>;

// Actions.

/// Return the outcome to the submitter of the request. Exactly one `answer` or
/// `redirect` follows each `request_arrived`.
struct answer
{
    core::request_id id;
    core::outcome result;
};

/// The request was not run because this server cannot serve it. Another member
/// may be able to.
struct redirect
{
    core::request_id id;
    core::error reason;
    /// The primary that this host knows of, if any.
    std::optional<core::server_id> primary;
    core::term_number term = 0;
};

/// Send the statement on an open connection.
struct send_statement
{
    dispatch_number dispatch = 0;
    connection_number connection = 0;
    core::server_id server;
    core::term_number term = 0;
    core::request request;
    /// The dispatch fails if no reply has been received by this time.
    core::time_point reply_by;
};

struct open_connection
{
    core::server_id server;
    connection_number connection = 0;
};

struct close_connection
{
    core::server_id server;
    connection_number connection = 0;
};

/// Send a request without side effects on an idle connection to check that the
/// connection still works. The result is reported by `connection_opened` or
/// `connection_closed`.
struct probe_connection
{
    core::server_id server;
    connection_number connection = 0;
};

/// Refresh the group view from the members and the group row.
struct refresh_view
{
    core::term_number at_least = 0;
};

/// Report a server as suspect: the data path failed on a new connection or
/// timed out.
struct report_suspicion
{
    core::server_id server;
};

using action = std::variant<answer, redirect, send_statement, open_connection,
                            close_connection, probe_connection, refresh_view,
                            report_suspicion>;

}  // namespace godwitbarrow::serving
