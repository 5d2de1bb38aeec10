#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>

#include "godwitbarrow/pooler/decide.hpp"

/// Checks that what a host counts as in use is in use.
namespace godwitbarrow::pooler::test
{

/// Slots of a queue that statements hold, for each rank.
using held_slots = std::array<std::size_t, core::rank_count>;

inline held_slots count_held(const state& all, const core::group_id& group,
                             bool primary_only)
{
    held_slots out{};
    for (const auto& [number, s] : all.sessions)
        if (s.current && s.current->holds_slot &&
            s.active_route.group == group &&
            s.current->primary_only == primary_only)
            ++out[core::index_of(s.active_route.importance)];
    return out;
}

/// Entries of a queue whose session does not wait in it.
inline std::size_t count_strays(const state& all,
                                const admission::queue_state& queue)
{
    std::size_t out = 0;
    for (const auto& rank : queue.waiting)
        for (const auto& it : rank)
        {
            const auto s = all.sessions.find(std::stoull(it.id.value));
            if (s == all.sessions.end() || !s->second.current ||
                !s->second.current->queued)
                ++out;
        }
    return out;
}

inline std::size_t count_queued(const state& all, const core::group_id& group)
{
    std::size_t out = 0;
    for (const auto& [number, s] : all.sessions)
        if (s.current && s.current->queued && s.active_route.group == group)
            ++out;
    return out;
}

/// Returns what is wrong with the connections that a member counts.
inline std::optional<std::string> find_wrong_member(const state& all,
                                                    const group& g)
{
    for (const auto& [id, m] : g.members)
    {
        std::size_t busy = 0;
        for (const auto& [number, c] : all.connections)
        {
            if (c.server != id || c.group != m.record.group)
                continue;
            if (m.connections.count(number) == 0)
                return "member " + id.value + " does not count a connection";
            busy += c.phase == connection_phase::busy ? 1 : 0;
        }
        if (busy != m.running)
            return "member " + id.value + " counts " +
                   std::to_string(m.running) + " statements, runs " +
                   std::to_string(busy);
    }
    return std::nullopt;
}

/// Returns a difference between what is counted as in use and what is held.
inline std::optional<std::string> find_lost_slot(const state& all)
{
    for (const auto& [id, g] : all.groups)
    {
        if (g.primary_queue.running != count_held(all, id, true))
            return "slots of the queue of the primary";
        if (g.read_queue.running != count_held(all, id, false))
            return "slots of the queue of reads";
        if (count_strays(all, g.primary_queue) +
                count_strays(all, g.read_queue) >
            0)
            return "an entry in a queue without a statement";
        if (admission::waiting_count(g.primary_queue) +
                admission::waiting_count(g.read_queue) !=
            count_queued(all, id))
            return "a statement that waits in no queue";
        if (auto wrong = find_wrong_member(all, g))
            return wrong;
    }
    return std::nullopt;
}

}  // namespace godwitbarrow::pooler::test
