#pragma once

#include "app.hpp"

namespace godwitbarrow::proxy
{

/// Handles a message of another host; replies go back on the same link.
void on_message(app& it, const core::host_id& from, const peer::link_ptr& link,
                peer::message what);

}  // namespace godwitbarrow::proxy
