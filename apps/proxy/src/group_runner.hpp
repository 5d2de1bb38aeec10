#pragma once

#include "app.hpp"

/// Feeds events to the decisions about a group and performs their actions.
namespace godwitbarrow::proxy
{

/// Decides under the lock of the group, then performs the actions without it.
/// The actions of one group are performed in the order of their decisions.
void post(app& it, const group_ptr& group, const serving::event& what);
void post(app& it, const group_ptr& group, const failover::event& what);

/// Hands a request to the server owner on this host. `handler` runs once.
void serve(app& it, const group_ptr& group, const core::server_id& server,
           const core::request& what, served_handler handler);

/// Tells both the serving and the failover decisions of a primary.
void learn_view(app& it, const group_ptr& group, core::term_number term,
                const std::optional<core::server_id>& primary);

/// Creates the entries of new groups and updates the settings of the others.
void apply_group_settings(app& it, const settings::settings& of);

}  // namespace godwitbarrow::proxy
