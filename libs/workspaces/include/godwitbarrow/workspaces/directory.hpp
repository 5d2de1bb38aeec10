#pragma once

#include <map>
#include <optional>
#include <unordered_map>

#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/workspaces/keys.hpp"

/// The workspaces of a configuration and who may work for them.
namespace godwitbarrow::workspaces
{

/// Operations that a workspace may run at members, over all hosts.
struct quota
{
    /// Operations a second.
    double rate = 0;
    /// Operations beyond the rate after a pause.
    double burst = 0;
};

struct directory
{
    /// Whether callers need a key. A deployment without workspaces has none.
    bool required = false;
    /// A workspace without a quota is not limited.
    std::map<core::workspace_id, std::optional<quota>> quotas;
    std::unordered_map<key_hash, core::workspace_id> keys;
};

/// Returns the workspace that a caller with this key works for, with an empty
/// name for callers that need no key. Nothing if the caller is not admitted.
/// `open` is whether the route admits callers without a valid key.
std::optional<core::workspace_id> find_workspace(
    const directory& in, const std::optional<key_hash>& key, bool open);

}  // namespace godwitbarrow::workspaces
