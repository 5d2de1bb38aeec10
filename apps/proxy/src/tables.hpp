#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "delta_codec.hpp"
#include "godwitbarrow/backend/connection.hpp"
#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/lock_order.hpp"
#include "godwitbarrow/failover/decide.hpp"
#include "godwitbarrow/membership/decide.hpp"
#include "godwitbarrow/peer/link.hpp"
#include "godwitbarrow/routing/owner.hpp"
#include "godwitbarrow/serving/decide.hpp"
#include "godwitbarrow/settings/publish.hpp"
#include "godwitbarrow/settings/settings.hpp"

/// The tables that the workers share. Each has one mutex with a place in the
/// lock order of core/lock_order.hpp; no mutex is held across I/O.
namespace godwitbarrow::proxy
{

struct poller;

using settings_ptr = std::shared_ptr<const settings::settings>;

struct settings_table
{
    core::ordered_mutex<core::lock_level::settings> mutex;
    /// Null until the first generation is known.
    settings_ptr current;
    std::uint64_t generation = 0;
    settings::file_set files;
    settings::publish_state publish;
    /// A whole file set that a peer is sending.
    settings_transfer transfer;
    /// Peers to ask for settings while the store is down.
    std::vector<core::endpoint> seeds;
    /// Runs when the first generation is known.
    std::function<void()> on_first;
    /// Last rejected or conflicting change of the folder, for operators.
    std::string last_rejection;
    /// Requests in flight by team.
    std::map<std::string, std::uint32_t> team_load;
};

struct host_table
{
    core::ordered_mutex<core::lock_level::hosts> mutex;
    membership::state membership;
    std::vector<routing::host_entry> usable;
    /// Hosts that cannot reach a backend server.
    std::map<core::server_id, std::vector<core::host_id>> without_contact;
    std::set<core::server_id> leaving_servers;
    /// Backend servers whose control connection fails on this host.
    std::set<core::server_id> unreachable;
};

using served = std::variant<core::outcome, serving::redirect>;
using served_handler = std::function<void(served)>;
using group_action = std::variant<serving::action, failover::action>;

/// State of one group at this host.
struct group_entry
{
    explicit group_entry(const boost::asio::any_io_executor& executor)
        : timer(executor)
    {
    }

    core::group_id id;
    core::ordered_mutex<core::lock_level::group_state> mutex;
    serving::group_state serving;
    failover::group_state failover;
    std::unordered_map<core::request_id, served_handler> handlers;
    /// Actions that were decided and not yet performed, in order.
    std::deque<group_action> outbox;
    /// Whether a worker performs the actions of the outbox.
    bool performing = false;
    core::timer timer;
    std::optional<core::time_point> timer_due;
    /// The group row is not read again before this time.
    core::time_point next_refresh;
    /// Until then the members are polled at the short interval.
    core::time_point active_until;
};
using group_ptr = std::shared_ptr<group_entry>;

struct group_table
{
    core::ordered_mutex<core::lock_level::group_index> mutex;
    std::map<core::group_id, group_ptr> groups;
};

using connection_key = std::pair<core::group_id, serving::connection_number>;

struct connection_table
{
    core::ordered_mutex<core::lock_level::connections> mutex;
    std::map<connection_key, backend::connection_ptr> open;
    /// Connections under way; one that is closed meanwhile is taken out.
    std::set<connection_key> opening;
    /// Status polls, by member.
    std::map<core::server_id, std::shared_ptr<poller>> pollers;
};

/// A request that was handed to another host.
struct forwarded_request
{
    core::host_id to;
    std::function<void(std::optional<served>)> handler;
};

struct peer_link
{
    peer::link_ptr link;
    bool connecting = false;
    /// Messages that wait for the connection.
    std::vector<peer::message> waiting;
};

struct peer_table
{
    core::ordered_mutex<core::lock_level::peers> mutex;
    std::map<core::host_id, peer_link> links;
    std::map<peer::link_ptr, core::host_id> accepted;
    std::map<core::request_id, forwarded_request> forwarded;
};

}  // namespace godwitbarrow::proxy
