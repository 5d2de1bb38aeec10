#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/lock_order.hpp"
#include "godwitbarrow/owners/owners.hpp"
#include "godwitbarrow/pooler/events.hpp"
#include "godwitbarrow/pooler/lost_owner.hpp"
#include "godwitbarrow/relay/flow_control.hpp"
#include "godwitbarrow/relay/send_queue.hpp"
#include "request_log.hpp"

/// Sessions whose caller is connected to another host than the one that serves
/// them.
namespace godwitbarrow::proxy::pooled
{

/// A line of a caller that the owner has not answered yet.
struct outstanding_line
{
    bool startup = false;
    /// Absent for the startup and for a line that gets no answer.
    std::optional<pooler::outstanding_statement> statement;
};

/// A session of a caller of this host that another host serves.
struct outbound_session
{
    core::host_id owner;
    std::deque<outstanding_line> outstanding;
    std::size_t outstanding_bytes = 0;
    /// The end of what has arrived of an answer. An answer of this host in
    /// place of the owner's can only follow whole rows.
    std::string unfinished;
    /// Whether it is outside a transaction.
    bool idle = true;
    core::time_point last_answer;
};

/// A session that this host serves for a caller of another host.
struct inbound_session
{
    core::host_id entry;
    /// Its number at the entry host.
    pooler::session_number number = 0;
};

/// What the owner knows of a session of one entry host.
struct inbound_caller
{
    pooler::session_number session = 0;
    bool started = false;
    /// Parts of a line that is not complete yet.
    std::string partial;
};

/// An item that waits for the configuration under which the entry host works.
struct held_item
{
    relay::item what;
    std::uint64_t configuration = 0;
    core::time_point until;
};

struct relay_peer
{
    bool linked = false;
    /// Since when it has been shutting down.
    std::optional<core::time_point> draining_since;
    std::optional<core::time_point> heard_at;
    /// When the heartbeats that it has not answered yet were sent. It answers
    /// them in order.
    std::deque<core::time_point> heartbeats;
    /// From the last answered heartbeat to its answer.
    std::optional<core::duration> heartbeat_time;
    /// It has not answered a heartbeat in time and takes no new sessions.
    bool silent = false;
    relay::send_queue unsent;
    relay::link_flow flow;
    bool flush_posted = false;
    /// Sessions of this host that it serves.
    std::set<pooler::session_number> outbound;
    /// Its sessions that this host serves, by their number there.
    std::unordered_map<pooler::session_number, inbound_caller> inbound;
    std::deque<held_item> held;
};

/// Whether new sessions may be relayed to the host.
inline bool takes_sessions(const relay_peer& it)
{
    return it.linked && !it.silent && !it.draining_since;
}

struct relay_table
{
    explicit relay_table(boost::asio::io_context& io)
        : strand(io.get_executor())
    {
    }

    core::ordered_mutex<core::lock_level::relays> mutex;
    /// Held while what is outstanding changes and the caller is told, so that
    /// an answer of the owner and one in its place never cross.
    core::ordered_mutex<core::lock_level::relayed_answers> answers;
    std::map<core::group_id, owners::ownership> groups;
    std::map<core::host_id, relay_peer> peers;
    std::unordered_map<pooler::session_number, outbound_session> outbound;
    std::unordered_map<pooler::session_number, inbound_session> inbound;
    /// Since when this host has been shutting down.
    std::optional<core::time_point> draining_since;
    /// Of sessions whose owner is lost.
    request_log requests;
    core::time_point last_watch{};
    /// Sends what is unsent, so that the items of one host keep their order.
    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    /// Whether any session was relayed from or to this host.
    std::atomic<bool> used{false};
};

}  // namespace godwitbarrow::proxy::pooled
