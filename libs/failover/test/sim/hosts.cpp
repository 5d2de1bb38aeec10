#include <algorithm>

#include "world.hpp"

namespace godwitbarrow::failover::sim
{
namespace
{

constexpr milliseconds call_timeout{500};
constexpr milliseconds role_interval{250};
constexpr milliseconds data_path_interval{50};
constexpr milliseconds poll_check{20};
constexpr milliseconds poll_pause{100};

int host_index(const core::host_id& it)
{
    return it.value.back() - '0';
}

void fire_timer(world& w, int h, core::time_point t)
{
    auto& host = w.hosts[h];
    if (host.timer_at != t)
        return;
    host.timer_at = {};
    feed(w, h, tick{});
    const auto next = next_wakeup(host.state);
    if (next && *next <= w.now)
        violate(w,
                "a tick left due work in phase " +
                    std::to_string(static_cast<int>(host.state.current_phase)));
}

void arm_timer(world& w, int h)
{
    auto& host = w.hosts[h];
    const auto next = next_wakeup(host.state);
    if (!next)
    {
        host.timer_at = {};
        return;
    }
    const auto t = std::max(*next, w.now + microseconds(1));
    if (host.timer_at == t)
        return;
    host.timer_at = t;
    schedule(w, t,
             [&w, h, t]
             { deliver(w, h, [&w, h, t] { fire_timer(w, h, t); }); });
}

// The actions of the decisions, as the proxy would perform them.

void perform(world& w, int h, const read_row&)
{
    serve_read(w, h);
}

void perform(world& w, int h, const write_row& it)
{
    serve_write(w, h, it);
}

void observe(world& w, int h, int observer, const ask_observers& it)
{
    const auto answer = [&w, h, observer, it](auto status)
    {
        observation_received seen;
        seen.round = it.round;
        seen.observer = host_name(observer);
        seen.server = it.server;
        seen.reachable = core::ok(status);
        if (seen.reachable)
            seen.status = std::get<core::member_status>(status);
        if (observer == h)
            feed(w, h, seen);
        else
            send(w, observer, h,
                 [&w, h, seen]
                 { deliver(w, h, [&w, h, seen] { feed(w, h, seen); }); });
    };
    ask_member(
        w, observer, member_index(it.server), w.how.connect_timeout,
        [&w](auto& member) -> core::result<core::member_status>
        { return status_of(w, member); },
        answer);
}

void perform(world& w, int h, const ask_observers& it)
{
    observe(w, h, h, it);
    for (const auto& name : it.observers)
    {
        const int other = host_index(name);
        send(w, h, other,
             [&w, h, other, it] {
                 deliver(w, other,
                         [&w, h, other, it] { observe(w, h, other, it); });
             });
    }
}

void perform(world& w, int h, const fence_member& it)
{
    const int m = member_index(it.server);
    ask_member(
        w, h, m, call_timeout,
        [&w, m, it](auto&) { return serve_fence(w, m, it.term, it.attempt); },
        [&w, h, it](auto result) {
            feed(w, h, fence_answered{it.server, result});
        });
}

void perform(world& w, int h, const promote_member& it)
{
    const int m = member_index(it.server);
    ask_member(
        w, h, m, call_timeout,
        [&w, m, it](auto&) { return serve_promote(w, m, it.term, it.attempt); },
        [&w, h, it](auto result) {
            feed(w, h, promote_answered{it.server, result});
        });
}

void perform(world& w, int h, const follow_primary& it)
{
    const int m = member_index(it.server);
    const int p = member_index(it.primary);
    ask_member(
        w, h, m, call_timeout,
        [&w, m, p, it](auto&) { return serve_follow(w, m, it.term, p); },
        [](const auto&) {});
}

void perform(world& w, int h, const publish_view& it)
{
    for (int other = 0; other < host_count; ++other)
    {
        if (other == h)
            continue;
        const view_learned news{it.term, it.primary};
        send(w, h, other,
             [&w, other, news] {
                 deliver(w, other, [&w, other, news] { feed(w, other, news); });
             });
    }
}

void perform(world& w, int h, const report_to_coordinator& it)
{
    const int other = w.hosts[h].believed_coordinator;
    const suspicion_reported report{it.server, host_name(h)};
    send(w, h, other,
         [&w, other, report] {
             deliver(w, other, [&w, other, report] { feed(w, other, report); });
         });
}

void perform(world& w, int h, const report_progress& it)
{
    w.steps.push_back({w.now, h, it});
}

// Status polls.

struct poll
{
    int host = 0;
    int member = 0;
    core::time_point requested_at;
    core::time_point until;
    std::shared_ptr<bool> closed = std::make_shared<bool>(false);
};

void start_poll(world& w, int h, int m);

/// Members answer on a change of term, role or contact, or after the wait.
void hold_poll(world& w, const poll& it, const core::member_status& known)
{
    const auto& member = w.members[it.member];
    if (*it.closed || !answers(member))
        return;
    const auto status = status_of(w, member);
    const bool changed = status.term != known.term ||
                         status.role != known.role ||
                         status.primary_contact != known.primary_contact;
    if (!changed && w.now < it.until)
    {
        after(w, poll_check, [&w, it, known] { hold_poll(w, it, known); });
        return;
    }
    send(w, member_node(it.member), it.host,
         [&w, it, status]
         {
             if (std::exchange(*it.closed, true))
                 return;
             deliver(w, it.host,
                     [&w, it, status]
                     {
                         feed(w, it.host,
                              status_received{server_name(it.member), status,
                                              it.requested_at});
                         start_poll(w, it.host, it.member);
                     });
         });
}

void miss_poll(world& w, const poll& it)
{
    if (std::exchange(*it.closed, true))
        return;
    deliver(w, it.host,
            [&w, it]
            {
                feed(w, it.host, status_missed{server_name(it.member)});
                after(w, poll_pause,
                      [&w, it] {
                          deliver(w, it.host,
                                  [&w, it]
                                  { start_poll(w, it.host, it.member); });
                      });
            });
}

void start_poll(world& w, int h, int m)
{
    const auto wait = w.how.poll_wait;
    const poll it{h, m, w.now, w.now + wait};
    feed(w, h, status_requested{server_name(m), wait});
    const auto known = w.hosts[h].state.members[server_name(m)].status.value_or(
        core::member_status{});
    after(w, wait + milliseconds(800), [&w, it] { miss_poll(w, it); });
    send(w, h, member_node(m),
         [&w, it, known]
         {
             const auto& member = w.members[it.member];
             if (!member.silent && !member.process_up)
                 send(w, member_node(it.member), it.host,
                      [&w, it] { miss_poll(w, it); });
             else
                 hold_poll(w, it, known);
         });
}

/// A statement on a new connection that is refused is reported.
void try_data_path(world& w, int h)
{
    const auto primary = w.hosts[h].state.view.primary;
    if (!primary)
        return;
    ask_member(
        w, h, member_index(*primary), w.how.connect_timeout,
        [&w](auto& member) -> core::result<core::member_status>
        { return status_of(w, member); },
        [&w, h, primary](const auto& result)
        {
            if (!core::ok(result))
                feed(w, h, suspicion_reported{*primary, host_name(h)});
        });
}

std::vector<core::host_id> others_than(int h)
{
    std::vector<core::host_id> it;
    for (int other = 0; other < host_count; ++other)
        if (other != h)
            it.push_back(host_name(other));
    return it;
}

/// The first host that this one reaches coordinates the group.
void review_role(world& w, int h)
{
    auto& host = w.hosts[h];
    int first = 0;
    while (first != h && (is_cut(w, h, first) || !w.hosts[first].alive ||
                          w.hosts[first].paused))
        ++first;
    const bool coordinator = first == h;
    const bool known = !host.state.observers.empty();
    if (known && host.believed_coordinator == first &&
        host.state.coordinator == coordinator)
        return;
    host.believed_coordinator = first;
    feed(w, h, role_changed{coordinator, others_than(h)});
}

void repeat_on_host(world& w, int h, milliseconds interval,
                    const std::function<void()>& run)
{
    deliver(w, h,
            [&w, h, interval, run]
            {
                run();
                after(w, interval,
                      [&w, h, interval, run]
                      { repeat_on_host(w, h, interval, run); });
            });
}

}  // namespace

core::host_id host_name(int h)
{
    return {"host" + std::to_string(h)};
}

void deliver(world& w, int h, std::function<void()> run)
{
    auto& host = w.hosts[h];
    if (!host.alive)
        return;
    if (host.paused)
        host.inbox.push_back(std::move(run));
    else
        run();
}

void feed(world& w, int h, const event& it)
{
    auto& host = w.hosts[h];
    const auto actions = decide(host.state, it, w.now);
    for (const auto& what : actions)
    {
        if (w.watch)
            w.watch(h, what);
        deliver(w, h,
                [&w, h, what] {
                    std::visit([&](const auto& a) { perform(w, h, a); }, what);
                });
    }
    if (host.alive)
        arm_timer(w, h);
}

void start_host(world& w, int h)
{
    auto& host = w.hosts[h];
    std::vector<core::server_id> names;
    names.reserve(member_count);
    for (int m = 0; m < member_count; ++m)
        names.push_back(server_name(m));
    host.state = make_group({"group"}, host_name(h), names, w.now);
    host.state.limits.row_review = w.how.row_review;
    host.timer_at = {};
    for (int m = 0; m < member_count; ++m)
        start_poll(w, h, m);
    if (w.how.automatic_roles)
        repeat_on_host(w, h, role_interval, [&w, h] { review_role(w, h); });
    if (w.how.data_path_reports)
        repeat_on_host(w, h, data_path_interval,
                       [&w, h] { try_data_path(w, h); });
}

void set_coordinators(world& w, const std::set<int>& hosts)
{
    for (int h = 0; h < host_count; ++h)
    {
        w.hosts[h].believed_coordinator = hosts.empty() ? h : *hosts.begin();
        feed(w, h, role_changed{hosts.count(h) != 0, others_than(h)});
    }
}

}  // namespace godwitbarrow::failover::sim
