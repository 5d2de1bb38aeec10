#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <stdexcept>
#include <utility>

#include "godwitbarrow/core/clock.hpp"

/// Runs asynchronous code in tests on the thread of the test.
namespace godwitbarrow::standins
{

/// Bound on a test that hangs; no test passes by waiting for it.
constexpr std::chrono::seconds longest_test_wait{20};

/// Runs handlers until `done` holds; throws std::runtime_error if it never
/// does.
inline void run_until(boost::asio::io_context& io,
                      const std::function<bool()>& done)
{
    const auto end = std::chrono::steady_clock::now() + longest_test_wait;
    while (!done())
    {
        if (std::chrono::steady_clock::now() > end)
            throw std::runtime_error("the awaited event did not happen");
        io.restart();
        io.run_one_for(std::chrono::milliseconds(10));
    }
}

/// Calls `start` with a handler and returns what the handler is called with.
template <class T, class Start>
T result_of(boost::asio::io_context& io, Start start)
{
    std::optional<T> result;
    start([&](T r) { result = std::move(r); });
    run_until(io, [&] { return result.has_value(); });
    return *std::move(result);
}

/// Pauses the runtime clock for the lifetime of the object.
struct paused_clock
{
    paused_clock()
    {
        core::runtime_clock::pause();
    }
    paused_clock(const paused_clock&) = delete;
    paused_clock& operator=(const paused_clock&) = delete;
    ~paused_clock()
    {
        core::runtime_clock::resume();
    }
};

}  // namespace godwitbarrow::standins
