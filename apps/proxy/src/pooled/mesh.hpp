#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "app.hpp"
#include "godwitbarrow/hosts/host.hpp"
#include "godwitbarrow/peer/link.hpp"

/// Links to the other hosts of the mode pooler. Messages of a topic to one host
/// arrive in the order in which they were sent, or the link is reported as
/// closed and those not yet delivered are lost.
namespace godwitbarrow::proxy::pooled
{

/// Listens for other hosts if the settings have an address for them. Errors:
/// invalid_settings if the address is taken.
core::result<std::monostate> start_mesh(app& it);

/// Replaces the list of the other live hosts. Links to hosts that are no longer
/// listed stay open until they break.
void set_hosts(app& it, std::vector<hosts::peer_host> all);

/// Whether `set_hosts` was called since the start.
bool hosts_listed(const app& it);

/// The other live hosts by name, without this one.
std::vector<hosts::peer_host> other_hosts(const app& it);

/// Nothing if the host is not a live one.
std::optional<hosts::peer_host> find_host(const app& it,
                                          const core::host_id& host);

/// This host as others see it.
hosts::peer_host own_host(const app& it);

/// Keeps links open to these hosts for the topic, besides those that other
/// topics need. A link that breaks is opened again after a pause.
void want_links(app& it, peer::topic about, std::set<core::host_id> to);

/// False if no link to the host is open; the message is dropped.
bool send_to_host(app& it, const core::host_id& to, peer::topic about,
                  std::string bytes);

/// What was sent to a host on its open link, and what of it still waits.
struct link_load
{
    core::host_id to;
    peer::send_backlog waiting;
    std::map<peer::topic, std::uint64_t> sent;
};

/// Of each open link.
std::vector<link_load> list_link_loads(const app& it);

/// Bytes handed to the links to all hosts since the start.
std::map<peer::topic, std::uint64_t> count_sent_bytes(const app& it);

/// What waits to be sent to the host; nothing without a link.
peer::send_backlog backlog_to(const app& it, const core::host_id& to);

using peer_message_handler =
    std::function<void(const core::host_id& from, std::string_view bytes)>;
using peer_link_handler =
    std::function<void(const core::host_id& peer, bool open)>;

/// Handlers are set before `start_mesh` and run on any worker, one at a time
/// for one link.
void on_host_message(app& it, peer::topic about, peer_message_handler handler);
void on_host_link(app& it, peer_link_handler handler);

}  // namespace godwitbarrow::proxy::pooled
