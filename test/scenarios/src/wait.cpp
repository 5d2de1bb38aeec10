#include "wait.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace scenario
{

void wait_for(std::chrono::milliseconds time)
{
    boost::asio::io_context io;
    boost::asio::steady_timer timer(io, time);
    timer.wait();
}

bool wait_until(std::chrono::milliseconds limit,
                const std::function<bool()>& condition)
{
    constexpr std::chrono::milliseconds interval{20};
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        wait_for(interval);
    }
    return true;
}

}  // namespace scenario
