#pragma once

#include <atomic>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/wait_traits.hpp>
#include <chrono>

/// The clock of the runtime. Every timer of the proxy uses it, so that tests
/// can pause it and advance it by hand.
namespace godwitbarrow::core
{

/// Monotonic clock with a resolution of one nanosecond, which also runs while
/// the machine is suspended. `pause`, `advance`
/// and `resume` are for tests and act on the whole process.
struct runtime_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<runtime_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
    static void pause() noexcept;
    static void advance(duration step) noexcept;
    static void resume() noexcept;
    static bool paused() noexcept;
};

using time_point = runtime_clock::time_point;
using duration = runtime_clock::duration;

}  // namespace godwitbarrow::core

namespace boost::asio
{

/// Limits the real wait of a timer while the clock is paused, so that a
/// reactor notices an advance within one millisecond.
template <>
struct wait_traits<godwitbarrow::core::runtime_clock>
{
    using clock = godwitbarrow::core::runtime_clock;

    static clock::duration to_wait_duration(const clock::duration& d)
    {
        constexpr clock::duration longest_paused_wait =
            std::chrono::milliseconds(1);
        if (clock::paused() && d > longest_paused_wait)
            return longest_paused_wait;
        return d;
    }

    static clock::duration to_wait_duration(const clock::time_point& t)
    {
        const auto n = clock::now();
        return t <= n ? clock::duration::zero() : to_wait_duration(t - n);
    }
};

}  // namespace boost::asio

namespace godwitbarrow::core
{
using timer = boost::asio::basic_waitable_timer<runtime_clock>;
}
