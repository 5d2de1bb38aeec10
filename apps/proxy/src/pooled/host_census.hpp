#pragma once

#include "app.hpp"

/// The hosts of the deployment: which live, and which read the store for which.
namespace godwitbarrow::proxy::pooled
{

/// Sets the handlers for heartbeats. Called before `start_mesh`.
void accept_heartbeats(app& it);

/// Announces this host in the store and to other hosts from now on, counts the
/// live hosts, and decides whether this host reads the store.
void count_hosts(app& it);

/// Tells other hosts that this one is shutting down.
void announce_leaving(app& it);

}  // namespace godwitbarrow::proxy::pooled
