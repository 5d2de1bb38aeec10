#pragma once

#include "app.hpp"

namespace godwitbarrow::proxy
{

/// Performs one action that was decided about a group.
void perform(app& it, const group_ptr& group, const group_action& what);

void perform(app& it, const group_ptr& group, const serving::action& what);
void perform(app& it, const group_ptr& group, const failover::action& what);

}  // namespace godwitbarrow::proxy
