#pragma once

#include "app.hpp"

/// Feeds events to the decisions about hosts and performs their actions.
namespace godwitbarrow::proxy
{

void post(app& it, const membership::event& what);

/// Fills the host table from the settings in effect. Events that are posted
/// before have no effect.
void prepare_membership(app& it);

/// Starts the ticks. Needs `prepare_membership`.
void start_membership(app& it);

}  // namespace godwitbarrow::proxy
