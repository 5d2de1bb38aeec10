#pragma once

#include "app.hpp"

/// Lends and borrows operations of the quotas of workspaces over the mesh.
namespace godwitbarrow::proxy::pooled
{

/// Takes part in lending if the deployment has quotas. Called before
/// `start_mesh`.
void start_quotas(app& it);

/// Asks the lender of the workspace, which may be this host.
void borrow(app& it, const pooler::borrow_operations& what);

}  // namespace godwitbarrow::proxy::pooled
