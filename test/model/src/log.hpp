#pragma once

#include "godwitbarrow/model/group.hpp"

namespace godwitbarrow::model::detail
{

/// Adds the commit to the end of the member's log and applies it.
void append(member& to, const commit_ptr& what);

}  // namespace godwitbarrow::model::detail
