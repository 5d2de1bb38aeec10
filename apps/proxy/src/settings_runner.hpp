#pragma once

#include "app.hpp"

/// Feeds events to the decisions about settings and performs their actions.
namespace godwitbarrow::proxy
{

void post(app& it, const settings::event& what);

/// Starts to scan the folder, if there is one, and to look for generations in
/// the store. `on_first` runs once, when the first settings are known.
void start_settings(app& it, std::function<void()> on_first);

/// A generation that a peer passed on, as a delta.
void apply_from_peer(app& it, const membership::settings_delta& what);

/// Sends the whole file set in effect, in chunks; nothing if there is none.
void send_whole_settings(app& it, const peer::link_ptr& to);
void send_whole_settings(app& it, const core::host_id& to);

/// A chunk of a whole file set.
void receive_whole_settings(app& it, const peer::settings_delta& what);

}  // namespace godwitbarrow::proxy
