#include "godwitbarrow/core/clock.hpp"

#include <ctime>

namespace godwitbarrow::core
{
namespace detail
{
namespace
{

// While `paused_flag` is set, `frozen_ns` is the time; otherwise `offset_ns`
// is added to the steady clock.
std::atomic<bool> paused_flag{false};
std::atomic<std::int64_t> frozen_ns{0};
std::atomic<std::int64_t> offset_ns{0};

std::int64_t steady_ns() noexcept
{
    // The steady clock stands still while a machine is suspended; leases and
    // ages of data do not.
    timespec t{};
    clock_gettime(CLOCK_BOOTTIME, &t);
    constexpr std::int64_t ns_per_s = 1'000'000'000;
    return std::int64_t{t.tv_sec} * ns_per_s + t.tv_nsec;
}

}  // namespace
}  // namespace detail

runtime_clock::time_point runtime_clock::now() noexcept
{
    if (detail::paused_flag.load())
        return time_point(duration(detail::frozen_ns.load()));
    return time_point(duration(detail::steady_ns() + detail::offset_ns.load()));
}

void runtime_clock::pause() noexcept
{
    detail::frozen_ns.store(now().time_since_epoch().count());
    detail::paused_flag.store(true);
}

void runtime_clock::advance(duration step) noexcept
{
    detail::frozen_ns.fetch_add(step.count());
    if (!detail::paused_flag.load())
        detail::offset_ns.fetch_add(step.count());
}

void runtime_clock::resume() noexcept
{
    detail::offset_ns.store(detail::frozen_ns.load() - detail::steady_ns());
    detail::paused_flag.store(false);
}

bool runtime_clock::paused() noexcept
{
    return detail::paused_flag.load();
}

}  // namespace godwitbarrow::core
