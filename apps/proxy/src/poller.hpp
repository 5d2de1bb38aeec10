#pragma once

#include "app.hpp"

namespace godwitbarrow::proxy
{

/// Starts or stops the status polls of a member on a control connection of
/// its own. The results go to the serving and the failover decisions.
void set_polling(app& it, const group_ptr& group, const core::server_id& server,
                 bool active);

}  // namespace godwitbarrow::proxy
