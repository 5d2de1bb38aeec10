#pragma once

#include <mutex>

/// The lock order of the process. A thread that holds a mutex may only lock
/// one of a higher level. Debug builds abort on a violation.
namespace godwitbarrow::core
{

enum class lock_level : int
{
    settings = 10,
    hosts = 20,
    group_index = 30,
    takeovers = 35,
    group_state = 40,
    transactions = 50,
    relayed_answers = 55,
    connections = 60,
    callers = 63,
    relays = 65,
    configuration = 66,
    quotas = 67,
    peers = 70,
    metrics = 80
};

namespace detail
{

/// Records that this thread locks `level`; aborts with a message on standard
/// error if it already holds one of the same or a higher level.
void enter_level(lock_level level) noexcept;
void leave_level(lock_level level) noexcept;

}  // namespace detail

/// A mutex with a place in the lock order. Usable with std::lock_guard.
template <lock_level Level>
struct ordered_mutex
{
    void lock()
    {
#ifndef NDEBUG
        detail::enter_level(Level);
#endif
        impl.lock();
    }

    void unlock()
    {
        impl.unlock();
#ifndef NDEBUG
        detail::leave_level(Level);
#endif
    }

    std::mutex impl;
};

}  // namespace godwitbarrow::core
