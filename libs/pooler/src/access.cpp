#include "access.hpp"

namespace godwitbarrow::pooler::detail
{

bool update_route(const state& all, caller_session& s)
{
    if (s.tx.phase != transaction_phase::none)
        return true;
    const auto it = all.active_configuration.routes.find(s.database);
    if (it == all.active_configuration.routes.end())
        return false;
    s.active_route = it->second;
    return true;
}

bool update_workspace(const state& all, caller_session& s)
{
    if (s.tx.phase == transaction_phase::failed)
        return true;
    const auto found = workspaces::find_workspace(
        all.active_configuration.workspaces, s.key, s.active_route.open);
    const bool in_transaction = s.tx.phase != transaction_phase::none;
    if (!found || (in_transaction && *found != s.workspace))
        return false;
    s.workspace = *found;
    return true;
}

}  // namespace godwitbarrow::pooler::detail
