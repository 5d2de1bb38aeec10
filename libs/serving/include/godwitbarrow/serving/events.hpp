#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "godwitbarrow/core/backend_reply.hpp"
#include "godwitbarrow/core/request.hpp"

/// Inputs and outputs of the decisions about one group at one host. Adapters
/// turn I/O into events and carry out the actions.
namespace godwitbarrow::serving
{

/// Numbers one use of a connection for one request; unique within a group
/// state and never used again.
using dispatch_number = std::uint64_t;
/// Numbers one connection to a backend server; unique within a group state.
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

/// The connection broke or its deadline passed before the reply was whole.
struct dispatch_failed
{
    dispatch_number dispatch = 0;
    /// Whether any byte of the statement was handed to the operating system.
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

/// A status that a member reported on a control connection.
struct status_received
{
    core::server_id server;
    core::member_status status;
    /// When the status request was sent, by this host's clock.
    core::time_point requested_at;
};

/// No status from the member within the timeout.
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

/// The caller of a request went away; the answer is not needed.
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

/// Sent to the one who handed in the request. Exactly one `answer` or
/// `redirect` follows each `request_arrived`.
struct answer
{
    core::request_id id;
    core::outcome result;
};

/// This server cannot serve the request, which was not run; another member
/// may be able to.
struct redirect
{
    core::request_id id;
    core::error reason;
    /// The primary as known here, if any.
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
    /// The dispatch fails if no reply has come by then.
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

/// Send a request without effect on an idle connection to learn whether it
/// still works; answered by `connection_opened` or `connection_closed`.
struct probe_connection
{
    core::server_id server;
    connection_number connection = 0;
};

/// The group view must be refreshed from the members and the group row.
struct refresh_view
{
    core::term_number at_least = 0;
};

/// The data path failed on a new connection or timed out.
struct report_suspicion
{
    core::server_id server;
};

using action = std::variant<answer, redirect, send_statement, open_connection,
                            close_connection, probe_connection, refresh_view,
                            report_suspicion>;

}  // namespace godwitbarrow::serving
