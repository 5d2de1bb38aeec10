#pragma once

#include "app.hpp"

/// Feeds events to the decisions about hosts and performs their actions.
namespace godwitbarrow::proxy
{

void post(app& it, const membership::event& what);

/// Starts the ticks. Needs the settings.
void start_membership(app& it);

}  // namespace godwitbarrow::proxy
