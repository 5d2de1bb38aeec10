#include "capacity.hpp"
#include "godwitbarrow/failover/decide.hpp"
#include "godwitbarrow/serving/decide.hpp"

namespace godwitbarrow::capacity
{
namespace
{

using namespace std::chrono_literals;

/// Polls behind the mean of a poll.
constexpr std::size_t mean_of = 30000;

/// What a host holds of one group.
struct group
{
    serving::group_state serving;
    failover::group_state failover;
};

group make_group(std::size_t n, core::time_point now)
{
    const auto it = settings_of(n);
    return {
        serving::make_group_state(it, n + 1),
        failover::make_group(
            it.group, it.self,
            {member_name(n, 0), member_name(n, 1), member_name(n, 2)}, now)};
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

failover::role_changed make_role(bool coordinator, std::size_t observers)
{
    failover::role_changed it{coordinator, {}};
    for (std::size_t i = 0; i < observers; ++i)
        it.observers.push_back({"host-" + std::to_string(10000 + i)});
    return it;
}

/// Mean for a group that was told of all hosts but this one as observers.
std::size_t state_bytes_with_observers(std::size_t hosts)
{
    constexpr std::size_t n = 100;
    const core::time_point now{1h};
    const auto role = make_role(false, hosts - 1);
    const auto before = heap_bytes();
    std::vector<group> groups;
    groups.reserve(n);
    for (std::size_t i = 0; i < n; ++i)
    {
        groups.push_back(make_group(i, now));
        failover::decide(groups.back().failover, role, now);
    }
    return (heap_bytes() - before) / n;
}

/// `n` results of polls that a member held for a second, at a coordinator with
/// this number of observers.
std::chrono::nanoseconds poll_time(std::size_t n, std::size_t observers)
{
    core::time_point now{1h};
    auto it = make_group(0, now);
    const std::vector<core::server_id> members{
        member_name(0, 0), member_name(0, 1), member_name(0, 2)};
    const auto& primary = members[0];
    give(it.failover, failover::view_learned{1, primary}, now);
    give(it.failover, make_role(true, observers), now);
    serving::decide(it.serving, serving::view_changed{1, primary}, now);
    const auto used = processor_time(
        [&]
        {
            for (std::size_t i = 0; i < n; ++i)
            {
                const auto& server = members[i % 3];
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
    require(it.failover.current_phase == failover::phase::steady,
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

serving::group_settings settings_of(std::size_t n)
{
    serving::group_settings it;
    it.group = group_name(n);
    it.self = {"host-00000"};
    for (std::size_t m = 0; m < 3; ++m)
        it.servers.push_back({member_name(n, m), 2, 15});
    return it;
}

std::vector<series> measure_groups()
{
    return {
        sweep("heap of the decision state of a group of three", "group",
              {100, 1000, 8600}, state_bytes),
        sweep("heap of one group state with all hosts as observers, mean",
              "known host", {4, 40, 400, 3600}, state_bytes_with_observers),
        sweep("processor time of status polls", "poll", {10000, 30000, 100000},
              [](std::size_t n) { return poll_time(n, 3); }),
        sweep("processor time of a status poll, mean", "known host",
              {4, 40, 400, 3600},
              [](std::size_t n)
              { return poll_time(mean_of, n - 1) / mean_of; })};
}

}  // namespace godwitbarrow::capacity
