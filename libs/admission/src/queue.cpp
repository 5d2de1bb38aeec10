#include "godwitbarrow/admission/queue.hpp"

#include <algorithm>
#include <numeric>

namespace godwitbarrow::admission
{
namespace detail
{
namespace
{

/// Weight of a new sample in the moving average of the service time.
constexpr double service_time_weight = 0.1;
/// Maximum number of dispatches owed to a rank, so that a rank that could not
/// be served for some time does not delay urgent work with a burst.
constexpr double max_credit = 4;
constexpr auto urgent = core::index_of(core::rank::urgent);

using entries = std::deque<queue_entry>;

std::size_t total(const std::array<std::size_t, core::rank_count>& counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::size_t{0});
}

std::size_t slot_count(const queue_state& queue)
{
    return std::max<std::size_t>(queue.slots, 1);
}

/// Number of slots that work of this rank may use.
std::size_t usable_slots(const queue_state& queue,
                         const queue_settings& settings, std::size_t rank)
{
    const auto slots = slot_count(queue);
    if (rank == urgent ||
        settings.scheduling == scheduling_policy::first_come_first_served)
        return slots;
    return slots - std::min(settings.urgent_slots, slots - 1);
}

bool can_dispatch(const queue_state& queue, const queue_settings& settings,
                  std::size_t rank)
{
    const auto running = total(queue.running);
    if (running >= slot_count(queue))
        return false;
    if (rank == urgent)
        return true;
    return running - queue.running[urgent] <
           usable_slots(queue, settings, rank);
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

using candidates = std::array<std::optional<std::size_t>, core::rank_count>;

/// Returns the rank with the highest credit if any rank has credit for a
/// dispatch, otherwise the most urgent rank.
std::optional<std::size_t> select_by_rank(const queue_state& queue,
                                          const candidates& ready)
{
    std::optional<std::size_t> owed;
    std::optional<std::size_t> most_urgent;
    for (std::size_t n = 0; n < core::rank_count; ++n)
    {
        if (!ready[n])
            continue;
        if (!most_urgent)
            most_urgent = n;
        if (queue.credit[n] >= 1 &&
            (!owed || queue.credit[n] > queue.credit[*owed]))
            owed = n;
    }
    return owed ? owed : most_urgent;
}

std::optional<std::size_t> select_by_arrival(const queue_state& queue,
                                             const candidates& ready)
{
    std::optional<std::size_t> first;
    const auto arrival = [&](std::size_t n)
    {
        return queue.waiting[n][*ready[n]].arrived;
    };
    for (std::size_t n = 0; n < core::rank_count; ++n)
        if (ready[n] && (!first || arrival(n) < arrival(*first)))
            first = n;
    return first;
}

/// Adds the share of one dispatch to the credit of every waiting rank and
/// charges the dispatch to the selected rank.
void update_credit(queue_state& queue, const queue_settings& settings,
                   std::size_t selected)
{
    for (std::size_t n = 0; n < core::rank_count; ++n)
    {
        if (queue.waiting[n].empty())
            continue;
        queue.credit[n] =
            std::min(queue.credit[n] + settings.minimum_share[n], max_credit);
    }
    queue.credit[selected] = std::max(queue.credit[selected] - 1, 0.0);
}

core::duration scale(core::duration value, double factor)
{
    return core::duration(static_cast<core::duration::rep>(
        static_cast<double>(value.count()) * factor));
}

/// Share of the slots that waiting entries of the ranks below `rank` can claim.
double reserved_by_lower_ranks(const queue_state& queue,
                               const queue_settings& settings, std::size_t rank)
{
    double share = 0;
    for (std::size_t n = rank + 1; n < core::rank_count; ++n)
        if (!queue.waiting[n].empty())
            share += settings.minimum_share[n];
    return std::min(share, 0.9);
}

}  // namespace
}  // namespace detail

std::size_t waiting_count(const queue_state& queue)
{
    std::size_t n = 0;
    for (const auto& entries : queue.waiting)
        n += entries.size();
    return n;
}

std::size_t running_count(const queue_state& queue)
{
    return detail::total(queue.running);
}

core::duration estimated_wait(const queue_state& queue,
                              const queue_settings& settings, core::rank rank)
{
    const auto slots = static_cast<double>(detail::slot_count(queue));
    if (running_count(queue) < detail::slot_count(queue) &&
        waiting_count(queue) == 0)
        return {};
    if (settings.scheduling == scheduling_policy::first_come_first_served)
        return detail::scale(
            queue.service_time,
            static_cast<double>(waiting_count(queue) + 1) / slots);
    const auto own = core::index_of(rank);
    std::size_t ahead = 1;
    for (std::size_t n = 0; n <= own; ++n)
        ahead += queue.waiting[n].size();
    const auto usable =
        static_cast<double>(detail::usable_slots(queue, settings, own));
    const auto by_position =
        static_cast<double>(ahead) /
        (usable * (1 - detail::reserved_by_lower_ranks(queue, settings, own)));
    const auto share = settings.minimum_share[own];
    if (share <= 0)
        return detail::scale(queue.service_time, by_position);
    const auto by_share =
        static_cast<double>(queue.waiting[own].size() + 1) / (slots * share);
    return detail::scale(queue.service_time, std::min(by_position, by_share));
}

std::optional<core::duration> enqueue(queue_state& queue,
                                      const queue_settings& settings,
                                      const queue_entry& entry,
                                      core::time_point now)
{
    const auto wait = estimated_wait(queue, settings, entry.importance);
    const bool full = queue.waiting[core::index_of(entry.importance)].size() >=
                      settings.max_entries;
    if (full || now + wait > entry.deadline)
        return std::max(wait, queue.service_time);
    enqueue_unchecked(queue, entry);
    return std::nullopt;
}

void enqueue_unchecked(queue_state& queue, const queue_entry& entry)
{
    queue.waiting[core::index_of(entry.importance)].push_back(entry);
}

void requeue_front(queue_state& queue, const queue_entry& entry)
{
    queue.waiting[core::index_of(entry.importance)].push_front(entry);
}

std::optional<queue_entry> dequeue_next(
    queue_state& queue, const queue_settings& settings,
    const std::function<bool(const queue_entry&)>& ready)
{
    detail::candidates candidates;
    for (std::size_t n = 0; n < core::rank_count; ++n)
        if (detail::can_dispatch(queue, settings, n))
            candidates[n] = detail::first_ready(queue.waiting[n], ready);
    const auto selected = settings.scheduling == scheduling_policy::ranked
                              ? detail::select_by_rank(queue, candidates)
                              : detail::select_by_arrival(queue, candidates);
    if (!selected)
        return std::nullopt;
    auto& entries = queue.waiting[*selected];
    const auto position =
        entries.begin() + static_cast<std::ptrdiff_t>(*candidates[*selected]);
    queue_entry next = *position;
    detail::update_credit(queue, settings, *selected);
    entries.erase(position);
    // A rank without entries keeps no credit, because its unused share went to
    // the other ranks.
    if (entries.empty())
        queue.credit[*selected] = 0;
    ++queue.running[*selected];
    return next;
}

void release_slot(queue_state& queue, core::rank rank,
                  std::optional<core::duration> held)
{
    auto& running = queue.running[core::index_of(rank)];
    if (running > 0)
        --running;
    if (!held)
        return;
    if (queue.service_time == core::duration::zero())
        queue.service_time = *held;
    else
        queue.service_time += detail::scale(*held - queue.service_time,
                                            detail::service_time_weight);
}

bool remove(queue_state& queue, const core::request_id& id)
{
    for (std::size_t n = 0; n < core::rank_count; ++n)
    {
        auto& entries = queue.waiting[n];
        const auto position = std::find_if(entries.begin(), entries.end(),
                                           [&](const queue_entry& entry)
                                           { return entry.id == id; });
        if (position == entries.end())
            continue;
        entries.erase(position);
        if (entries.empty())
            queue.credit[n] = 0;
        return true;
    }
    return false;
}

std::vector<queue_entry> take_expired(queue_state& queue, core::time_point now)
{
    std::vector<queue_entry> expired;
    for (std::size_t n = 0; n < core::rank_count; ++n)
    {
        auto& entries = queue.waiting[n];
        const auto first_expired = std::stable_partition(
            entries.begin(), entries.end(),
            [&](const queue_entry& entry) { return entry.deadline > now; });
        expired.insert(expired.end(), first_expired, entries.end());
        entries.erase(first_expired, entries.end());
        if (entries.empty())
            queue.credit[n] = 0;
    }
    return expired;
}

}  // namespace godwitbarrow::admission
