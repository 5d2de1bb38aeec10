#include "godwitbarrow/relay/flow_control.hpp"

#include <limits>

namespace godwitbarrow::relay
{

std::size_t send_budget(const link_flow& it, std::size_t queued_bytes)
{
    if (!it.acknowledged || queued_bytes > max_queued_bytes)
        return std::numeric_limits<std::size_t>::max();
    // A report of an earlier link may exceed what was sent on this one.
    const auto under_way =
        it.sent > *it.acknowledged ? it.sent - *it.acknowledged : 0;
    return under_way < max_bytes_under_way ? max_bytes_under_way - under_way
                                           : 0;
}

bool is_report_due(const link_flow& it)
{
    return !it.reported || it.taken - *it.reported >= report_interval_bytes;
}

}  // namespace godwitbarrow::relay
