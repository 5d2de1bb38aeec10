#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/core/request.hpp"

/// Queue of the requests that wait for a slot of one backend server.
namespace godwitbarrow::admission
{

enum class scheduling_policy
{
    /// Urgent requests first, with guaranteed minimum shares for the other
    /// ranks.
    ranked,
    /// In order of arrival; used as the baseline in measurements.
    first_come_first_served
};

struct queue_settings
{
    scheduling_policy scheduling = scheduling_policy::ranked;
    /// Share of the dispatches, 0 to 1, guaranteed to each rank while it has
    /// waiting entries.
    std::array<double, core::rank_count> minimum_share{0.0, 0.2, 0.1};
    /// Slots reserved for urgent work; at most slots - 1 take effect.
    std::size_t urgent_slots = 0;
    /// Maximum number of entries of each rank, which bounds the memory under
    /// overload. With one bound over all ranks, an overload of deferred work
    /// caused urgent work to be refused.
    std::size_t max_entries = 10000;
};

/// Connection that an entry needs in addition to a slot.
enum class connection_need
{
    /// Any idle connection.
    shared,
    /// A connection that a new transaction holds until it ends.
    for_transaction,
    /// None, because the transaction of the entry already holds a connection.
    held
};

struct queue_entry
{
    core::request_id id;
    core::rank importance = core::rank::deferred;
    connection_need need = connection_need::shared;
    core::time_point arrived;
    core::time_point deadline;
};

struct queue_state
{
    /// Number of statements that the backend server executes concurrently.
    std::size_t slots = 1;
    std::array<std::deque<queue_entry>, core::rank_count> waiting;
    std::array<std::size_t, core::rank_count> running{};
    /// Dispatches owed to each rank under its minimum share.
    std::array<double, core::rank_count> credit{};
    /// Moving average of the time for which a statement holds a slot; zero
    /// until the first statement ends.
    core::duration service_time{};
};

std::size_t waiting_count(const queue_state& queue);
std::size_t running_count(const queue_state& queue);

/// Estimates how long a new entry of this rank would wait for a slot.
core::duration estimated_wait(const queue_state& queue,
                              const queue_settings& settings, core::rank rank);

/// Adds the entry. If its rank is full or it would still wait at its deadline,
/// it is not added, and the time after which a retry may be accepted is
/// returned.
std::optional<core::duration> enqueue(queue_state& queue,
                                      const queue_settings& settings,
                                      const queue_entry& entry,
                                      core::time_point now);

/// Adds an entry that was accepted before, without checking the limits again.
void enqueue_unchecked(queue_state& queue, const queue_entry& entry);

/// Puts an entry that was dispatched but not run back at the front of its rank.
void requeue_front(queue_state& queue, const queue_entry& entry);

/// Removes the entry to dispatch next and counts it as running. `ready` returns
/// whether an entry can get a connection now. Returns no entry if no slot is
/// free for an entry that is ready.
std::optional<queue_entry> dequeue_next(
    queue_state& queue, const queue_settings& settings,
    const std::function<bool(const queue_entry&)>& ready);

/// Frees the slot of a dispatched entry. `held` is the time for which it held
/// the slot, or absent if that time is no sample of the service time, for
/// example after a lost connection.
void release_slot(queue_state& queue, core::rank rank,
                  std::optional<core::duration> held);

/// Removes a waiting entry; returns false if no such entry is waiting.
bool remove(queue_state& queue, const core::request_id& id);

/// Removes and returns the entries whose deadline has passed.
std::vector<queue_entry> take_expired(queue_state& queue, core::time_point now);

}  // namespace godwitbarrow::admission
