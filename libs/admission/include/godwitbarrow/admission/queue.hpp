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

/// The queue in front of the slots of one backend server.
namespace godwitbarrow::admission
{

enum class scheduling_policy
{
    /// Urgent first, with guaranteed minimum shares for the other ranks.
    ranked,
    /// In order of arrival; for comparison in measurements.
    first_come_first_served
};

struct queue_settings
{
    scheduling_policy scheduling = scheduling_policy::ranked;
    /// Share of the dispatches, 0 to 1, that each rank gets while it waits.
    std::array<double, core::rank_count> minimum_share{0.0, 0.2, 0.1};
    /// Slots that only urgent work may use; at most slots - 1 take effect.
    std::size_t urgent_slots = 0;
    /// Entries of each rank; bounds the memory during a flood. A bound over all
    /// ranks let a flood of deferred work shut out urgent work.
    std::size_t max_entries = 10000;
};

/// What an entry needs besides a slot.
enum class connection_need
{
    /// Any idle connection.
    shared,
    /// A connection that a new transaction keeps.
    for_transaction,
    /// Nothing: its transaction holds a connection.
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
    /// Statements that the backend server executes at a time.
    std::size_t slots = 1;
    std::array<std::deque<queue_entry>, core::rank_count> waiting;
    std::array<std::size_t, core::rank_count> running{};
    /// Dispatches that each rank is owed under its minimum share.
    std::array<double, core::rank_count> credit{};
    /// Moving average of the time that a statement holds a slot; zero until
    /// the first statement ends.
    core::duration service_time{};
};

std::size_t waiting_count(const queue_state& it);
std::size_t running_count(const queue_state& it);

/// How long a new entry of this rank would wait for a slot.
core::duration estimated_wait(const queue_state& it,
                              const queue_settings& settings, core::rank rank);

/// Adds the entry, or returns the time after which a retry may be accepted:
/// the queue is full or the estimated wait exceeds the deadline.
std::optional<core::duration> enqueue(queue_state& it,
                                      const queue_settings& settings,
                                      const queue_entry& entry,
                                      core::time_point now);

/// Adds an entry that was accepted before, without the bound.
void enqueue_unchecked(queue_state& it, const queue_entry& entry);

/// Puts an entry back that was dispatched and not run, before all others of
/// its rank.
void requeue_front(queue_state& it, const queue_entry& entry);

/// Takes the entry that the next free slot goes to and counts it as running.
/// `ready` tells whether an entry could use a connection now. Absent if no
/// slot is free for an entry that is ready.
std::optional<queue_entry> dequeue_next(
    queue_state& it, const queue_settings& settings,
    const std::function<bool(const queue_entry&)>& ready);

/// Frees the slot of a dispatched entry. `held` is absent if the time says
/// nothing about the service time, for example after a lost connection.
void release_slot(queue_state& it, core::rank rank,
                  std::optional<core::duration> held);

/// Removes a waiting entry; false if it does not wait.
bool remove(queue_state& it, const core::request_id& id);

/// Removes the entries whose deadline has passed.
std::vector<queue_entry> take_expired(queue_state& it, core::time_point now);

}  // namespace godwitbarrow::admission
