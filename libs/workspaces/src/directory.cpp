#include "godwitbarrow/workspaces/directory.hpp"

namespace godwitbarrow::workspaces
{

std::optional<core::workspace_id> find_workspace(
    const directory& in, const std::optional<key_hash>& key, bool open)
{
    if (!in.required)
        return core::workspace_id{};
    if (key)
        if (const auto it = in.keys.find(*key); it != in.keys.end())
            return it->second;
    if (open)
        return core::workspace_id{};
    return std::nullopt;
}

}  // namespace godwitbarrow::workspaces
