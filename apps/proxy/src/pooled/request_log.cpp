#include "request_log.hpp"

#include "godwitbarrow/telemetry/log.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

/// Lines about requests in a second; the rest is counted.
constexpr std::uint64_t most_request_lines = 200;

}  // namespace
}  // namespace detail

bool may_log_request(request_log& it)
{
    const auto now = core::runtime_clock::now();
    if (now - it.second >= std::chrono::seconds(1))
    {
        if (it.left_out > 0)
            telemetry::log_event(telemetry::log_level::warning,
                                 "request lines left out",
                                 {{"count", it.left_out}});
        it = {now, 0, 0};
    }
    const bool room = it.written < detail::most_request_lines;
    ++(room ? it.written : it.left_out);
    return room;
}

}  // namespace godwitbarrow::proxy::pooled
