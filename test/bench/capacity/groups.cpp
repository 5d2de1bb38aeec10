#include "capacity.hpp"
#include "godwitbarrow/failover/decide.hpp"
#include "godwitbarrow/serving/decide.hpp"

namespace godwitbarrow::capacity
{
namespace
{

using namespace std::chrono_literals;

/// What a host holds of one group.
struct group
{
    serving::group_state serving;
    failover::group_state failover;
};

group make_group(std::size_t n, core::time_point now)
{
    serving::group_settings it;
    it.group = group_name(n);
    it.self = {"host-00000"};
    std::vector<core::server_id> members;
    for (std::size_t m = 0; m < 3; ++m)
        members.push_back(member_name(n, m));
    for (const auto& server : members)
        it.servers.push_back({server, 2, 15});
    return {serving::make_group_state(it, n + 1),
            failover::make_group(it.group, it.self, members, now)};
}

std::size_t state_bytes(std::size_t n)
{
    const auto before = heap_bytes();
    std::vector<group> groups;
    groups.reserve(n);
    for (std::size_t i = 0; i < n; ++i)
        groups.push_back(make_group(i, core::time_point{1h}));
    return heap_bytes() - before;
}

void give(failover::group_state& to, const failover::event& what,
          core::time_point now)
{
    const failover::versioned_row row{{1, member_name(0, 0), {"attempt"}}, 1};
    for (const auto& it : failover::decide(to, what, now))
        if (std::holds_alternative<failover::read_row>(it))
            give(to, failover::row_read{row}, now);
}

/// `n` results of polls that a member held for a second, at the coordinator.
std::chrono::nanoseconds poll_time(std::size_t n)
{
    core::time_point now{1h};
    auto it = make_group(0, now);
    const auto primary = member_name(0, 0);
    give(it.failover, failover::view_learned{1, primary}, now);
    give(it.failover, failover::role_changed{true, {{"host-00001"}}}, now);
    serving::decide(it.serving, serving::view_changed{1, primary}, now);
    const auto used = processor_time(
        [&]
        {
            for (std::size_t i = 0; i < n; ++i)
            {
                const auto server = member_name(0, i % 3);
                const bool leads = i % 3 == 0;
                const core::member_status status{
                    1, 1, i + 1,
                    leads ? core::member_role::primary
                          : core::member_role::replica,
                    true};
                now += leads ? 1s : 0s;
                serving::decide(
                    it.serving,
                    serving::status_received{server, status, now - 1s}, now);
                give(it.failover,
                     failover::status_received{server, status, now - 1s}, now);
            }
        });
    require(it.failover.now_in == failover::phase::steady,
            "the group stays undisturbed");
    return used;
}

}  // namespace

core::group_id group_name(std::size_t n)
{
    const auto digits = std::to_string(n);
    return {"group-" + std::string(5 - digits.size(), '0') + digits};
}

core::server_id member_name(std::size_t n, std::size_t m)
{
    return {group_name(n).value + "-" + std::to_string(m + 1)};
}

std::vector<series> measure_groups()
{
    return {sweep_bytes("heap of the decision state of a group of three",
                        "group", {100, 1000, 8600}, state_bytes),
            sweep_time("processor time of status polls", "poll",
                       {10000, 30000, 100000}, poll_time)};
}

}  // namespace godwitbarrow::capacity
