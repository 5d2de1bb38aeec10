#include "godwitbarrow/serving/state.hpp"

#include "internal.hpp"

namespace godwitbarrow::serving
{
namespace detail
{
namespace
{

void apply_limits(group_state& state, const server_settings& limits)
{
    const auto found = state.servers.find(limits.server);
    if (found == state.servers.end())
        return;
    found->second.queue.slots = limits.slots;
    found->second.pool.connection_limit = limits.connections;
}

bool is_configured(const group_settings& settings,
                   const core::server_id& server)
{
    for (const auto& entry : settings.servers)
        if (entry.server == server)
            return true;
    return false;
}

}  // namespace
}  // namespace detail

group_state make_group_state(const group_settings& settings, std::uint64_t seed)
{
    group_state state;
    state.random = seed;
    state.next_transaction = detail::next_random(state.random) &
                             ~((1ULL << detail::transaction_bits) - 1);
    state.budget.available = settings.retry.burst;
    apply_settings(state, settings);
    return state;
}

void apply_settings(group_state& state, const group_settings& settings)
{
    state.settings = settings;
    for (auto it = state.members.begin(); it != state.members.end();)
    {
        if (detail::is_configured(settings, it->first))
            ++it;
        else
            it = state.members.erase(it);
    }
    for (const auto& entry : settings.servers)
    {
        state.members.try_emplace(entry.server);
        detail::apply_limits(state, entry);
    }
}

}  // namespace godwitbarrow::serving
