#include "godwitbarrow/failover/state.hpp"

#include <functional>

#include "godwitbarrow/failover/decide.hpp"

namespace godwitbarrow::failover
{

group_state make_group(const core::group_id& group, const core::host_id& self,
                       const std::vector<core::server_id>& members,
                       core::time_point now)
{
    group_state it;
    it.group = group;
    it.self = self;
    for (const auto& member : members)
        it.members[member] = {};
    it.watching_since = now;
    it.next_report = now;
    it.next_round = now;
    it.next_ordered = now;
    it.incarnation = static_cast<std::uint64_t>(now.time_since_epoch().count());
    it.jitter = std::hash<std::string>{}(self.value + '/' + group.value);
    return it;
}

}  // namespace godwitbarrow::failover
