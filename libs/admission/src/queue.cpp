#include "godwitbarrow/admission/queue.hpp"

#include <algorithm>
#include <numeric>

namespace godwitbarrow::admission
{
namespace detail
{
namespace
{

/// Weight of a new value in the moving average of the service time.
constexpr double service_weight = 0.1;
/// A rank can be owed this many dispatches at most, so that one that could
/// not be served for a while does not delay urgent work by a burst.
constexpr double max_credit = 4;
constexpr auto urgent = core::index_of(core::rank::urgent);

using entries = std::deque<queue_entry>;

std::size_t total(const std::array<std::size_t, core::rank_count>& it)
{
    return std::accumulate(it.begin(), it.end(), std::size_t{0});
}

std::size_t slots_of(const queue_state& it)
{
    return std::max<std::size_t>(it.slots, 1);
}

/// Slots that work of this rank may use.
std::size_t slots_for(const queue_state& it, const queue_settings& settings,
                      std::size_t rank)
{
    const auto slots = slots_of(it);
    if (rank == urgent ||
        settings.scheduling == scheduling_policy::first_come_first_served)
        return slots;
    return slots - std::min(settings.urgent_slots, slots - 1);
}

bool may_start(const queue_state& it, const queue_settings& settings,
               std::size_t rank)
{
    const auto running = total(it.running);
    if (running >= slots_of(it))
        return false;
    if (rank == urgent)
        return true;
    return running - it.running[urgent] < slots_for(it, settings, rank);
}

std::optional<std::size_t> first_ready(
    const entries& waiting,
    const std::function<bool(const queue_entry&)>& ready)
{
    const auto it = std::find_if(waiting.begin(), waiting.end(), ready);
    if (it == waiting.end())
        return std::nullopt;
    return static_cast<std::size_t>(it - waiting.begin());
}

using choices = std::array<std::optional<std::size_t>, core::rank_count>;

/// The rank that is owed most, if one is owed a dispatch, else the most
/// urgent one.
std::optional<std::size_t> choose_by_rank(const queue_state& it,
                                          const choices& ready)
{
    std::optional<std::size_t> owed;
    std::optional<std::size_t> most_urgent;
    for (std::size_t n = 0; n < core::rank_count; ++n)
    {
        if (!ready[n])
            continue;
        if (!most_urgent)
            most_urgent = n;
        if (it.credit[n] >= 1 && (!owed || it.credit[n] > it.credit[*owed]))
            owed = n;
    }
    return owed ? owed : most_urgent;
}

std::optional<std::size_t> choose_by_arrival(const queue_state& it,
                                             const choices& ready)
{
    std::optional<std::size_t> first;
    const auto arrival = [&](std::size_t n)
    {
        return it.waiting[n][*ready[n]].arrived;
    };
    for (std::size_t n = 0; n < core::rank_count; ++n)
        if (ready[n] && (!first || arrival(n) < arrival(*first)))
            first = n;
    return first;
}

/// Every waiting rank earns its share of one dispatch.
void settle_credit(queue_state& it, const queue_settings& settings,
                   std::size_t chosen)
{
    for (std::size_t n = 0; n < core::rank_count; ++n)
    {
        if (it.waiting[n].empty())
            continue;
        it.credit[n] =
            std::min(it.credit[n] + settings.minimum_share[n], max_credit);
    }
    it.credit[chosen] = std::max(it.credit[chosen] - 1, 0.0);
}

core::duration scaled(core::duration time, double factor)
{
    return core::duration(static_cast<core::duration::rep>(
        static_cast<double>(time.count()) * factor));
}

/// Share of the slots that the ranks below `rank` can claim while they wait.
double claimed_below(const queue_state& it, const queue_settings& settings,
                     std::size_t rank)
{
    double claimed = 0;
    for (std::size_t n = rank + 1; n < core::rank_count; ++n)
        if (!it.waiting[n].empty())
            claimed += settings.minimum_share[n];
    return std::min(claimed, 0.9);
}

}  // namespace
}  // namespace detail

std::size_t waiting_count(const queue_state& it)
{
    std::size_t n = 0;
    for (const auto& entries : it.waiting)
        n += entries.size();
    return n;
}

std::size_t running_count(const queue_state& it)
{
    return detail::total(it.running);
}

core::duration estimated_wait(const queue_state& it,
                              const queue_settings& settings, core::rank rank)
{
    const auto slots = static_cast<double>(detail::slots_of(it));
    if (running_count(it) < detail::slots_of(it) && waiting_count(it) == 0)
        return {};
    if (settings.scheduling == scheduling_policy::first_come_first_served)
        return detail::scaled(
            it.service_time,
            static_cast<double>(waiting_count(it) + 1) / slots);
    const auto own = core::index_of(rank);
    std::size_t ahead = 1;
    for (std::size_t n = 0; n <= own; ++n)
        ahead += it.waiting[n].size();
    const auto usable =
        static_cast<double>(detail::slots_for(it, settings, own));
    const auto by_order =
        static_cast<double>(ahead) /
        (usable * (1 - detail::claimed_below(it, settings, own)));
    const auto share = settings.minimum_share[own];
    if (share <= 0)
        return detail::scaled(it.service_time, by_order);
    const auto by_share =
        static_cast<double>(it.waiting[own].size() + 1) / (slots * share);
    return detail::scaled(it.service_time, std::min(by_order, by_share));
}

std::optional<core::duration> enqueue(queue_state& it,
                                      const queue_settings& settings,
                                      const queue_entry& entry,
                                      core::time_point now)
{
    const auto wait = estimated_wait(it, settings, entry.importance);
    const bool full = it.waiting[core::index_of(entry.importance)].size() >=
                      settings.max_entries;
    if (full || now + wait > entry.deadline)
        return std::max(wait, it.service_time);
    enqueue_unchecked(it, entry);
    return std::nullopt;
}

void enqueue_unchecked(queue_state& it, const queue_entry& entry)
{
    it.waiting[core::index_of(entry.importance)].push_back(entry);
}

void requeue_front(queue_state& it, const queue_entry& entry)
{
    it.waiting[core::index_of(entry.importance)].push_front(entry);
}

std::optional<queue_entry> dequeue_next(
    queue_state& it, const queue_settings& settings,
    const std::function<bool(const queue_entry&)>& ready)
{
    detail::choices choices;
    for (std::size_t n = 0; n < core::rank_count; ++n)
        if (detail::may_start(it, settings, n))
            choices[n] = detail::first_ready(it.waiting[n], ready);
    const auto chosen = settings.scheduling == scheduling_policy::ranked
                            ? detail::choose_by_rank(it, choices)
                            : detail::choose_by_arrival(it, choices);
    if (!chosen)
        return std::nullopt;
    auto& entries = it.waiting[*chosen];
    const auto position =
        entries.begin() + static_cast<std::ptrdiff_t>(*choices[*chosen]);
    queue_entry next = *position;
    detail::settle_credit(it, settings, *chosen);
    entries.erase(position);
    // An empty queue is owed nothing: its unused share went to the others.
    if (entries.empty())
        it.credit[*chosen] = 0;
    ++it.running[*chosen];
    return next;
}

void release_slot(queue_state& it, core::rank rank,
                  std::optional<core::duration> held)
{
    auto& running = it.running[core::index_of(rank)];
    if (running > 0)
        --running;
    if (!held)
        return;
    if (it.service_time == core::duration::zero())
        it.service_time = *held;
    else
        it.service_time +=
            detail::scaled(*held - it.service_time, detail::service_weight);
}

bool remove(queue_state& it, const core::request_id& id)
{
    for (std::size_t n = 0; n < core::rank_count; ++n)
    {
        auto& entries = it.waiting[n];
        const auto position = std::find_if(entries.begin(), entries.end(),
                                           [&](const queue_entry& entry)
                                           { return entry.id == id; });
        if (position == entries.end())
            continue;
        entries.erase(position);
        if (entries.empty())
            it.credit[n] = 0;
        return true;
    }
    return false;
}

std::vector<queue_entry> take_expired(queue_state& it, core::time_point now)
{
    std::vector<queue_entry> expired;
    for (std::size_t n = 0; n < core::rank_count; ++n)
    {
        auto& entries = it.waiting[n];
        const auto kept = std::stable_partition(
            entries.begin(), entries.end(),
            [&](const queue_entry& entry) { return entry.deadline > now; });
        expired.insert(expired.end(), kept, entries.end());
        entries.erase(kept, entries.end());
        if (entries.empty())
            it.credit[n] = 0;
    }
    return expired;
}

}  // namespace godwitbarrow::admission
