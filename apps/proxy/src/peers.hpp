#pragma once

#include "app.hpp"

/// Links to other hosts and the messages on them.
namespace godwitbarrow::proxy
{

/// Accepts links from other hosts. Errors: invalid_settings.
core::result<std::monostate> listen_to_peers(app& it, const core::endpoint& at);

/// Sends on the link to the host, which is opened if there is none. Messages
/// are dropped if the host is unknown or does not accept the link.
void send_to(app& it, const core::host_id& host, const peer::message& what);

/// Hands a request to its server owner on another host. `handler` runs once;
/// without a value if the link was lost after the request was handed to it.
/// `not_run` with owner_unreachable if it was not handed over at all.
void forward(app& it, const core::host_id& to, const core::server_id& server,
             const core::request& what,
             std::function<void(std::optional<served>)> handler);

/// Gives up waiting for a forwarded request; false if it was answered.
bool forget_forwarded(app& it, const core::request_id& id);

/// Tries the host on a new link.
void probe_host(app& it, const core::host_id& host,
                const std::function<void(bool)>& handler);

/// Asks the seeds of the command line for the settings.
void request_settings_from_seeds(app& it);

}  // namespace godwitbarrow::proxy
