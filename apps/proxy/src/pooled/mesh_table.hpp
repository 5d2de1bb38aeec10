#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/lock_order.hpp"
#include "godwitbarrow/hosts/host.hpp"
#include "godwitbarrow/peer/link.hpp"

/// The hosts that are known and the links to them.
namespace godwitbarrow::proxy::pooled
{

struct mesh_peer
{
    /// The link that messages to the host are sent on; absent while closed.
    peer::link_ptr link;
    std::uint64_t incarnation = 0;
    /// Until a host that is connected to has said who it is.
    bool connecting = false;
    /// The link that waits for that.
    peer::link_ptr greeted;
    std::optional<core::time_point> retry_at;
    /// Bytes sent on the link since it is open.
    std::map<peer::topic, std::uint64_t> sent;
};

struct mesh_table
{
    mutable core::ordered_mutex<core::lock_level::peers> mutex;
    std::map<core::host_id, hosts::peer_host> hosts;
    /// Whether the hosts were listed since the start.
    bool listed = false;
    std::map<core::host_id, mesh_peer> peers;
    std::map<peer::topic, std::set<core::host_id>> wanted;
    /// Bytes handed to the links since the start.
    std::map<peer::topic, std::uint64_t> sent;
    /// Who is behind each link that has said so.
    std::map<peer::link_ptr, core::host_id> names;
    /// Distinguishes the starts of this process.
    std::uint64_t incarnation = 0;
    peer::listener_ptr listener;
    /// Not changed after the start.
    std::map<peer::topic,
             std::function<void(const core::host_id&, std::string_view)>>
        message_handlers;
    std::vector<std::function<void(const core::host_id&, bool)>> link_handlers;
};

}  // namespace godwitbarrow::proxy::pooled
