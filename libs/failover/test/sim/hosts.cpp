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

int host_index(const core::host_id& host)
{
    return host.value.back() - '0';
}

void fire_timer(world& w, int h, core::time_point t)
{
    auto& host = w.hosts[h];
    if (host.timer_at != t)
        return;
    host.timer_at = {};
    process_event(w, h, tick{});
    const auto next = next_wakeup(host.state);
    if (next && *next <= w.now)
        record_violation(
            w, "work was still due after a tick in phase " +
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

// Performs the actions returned by `decide` as the proxy does.

void perform(world& w, int h, const read_row&)
{
    serve_read(w, h);
}

void perform(world& w, int h, const write_row& request)
{
    serve_write(w, h, request);
}

void observe(world& w, int h, int observer, const ask_observers& request)
{
    const auto answer = [&w, h, observer, request](auto status)
    {
        observation_received seen;
        seen.round = request.round;
        seen.observer = host_name(observer);
        seen.server = request.server;
        seen.reachable = core::ok(status);
        if (seen.reachable)
            seen.status = std::get<core::member_status>(status);
        if (observer == h)
            process_event(w, h, seen);
        else
            send(w, observer, h,
                 [&w, h, seen] {
                     deliver(w, h,
                             [&w, h, seen] { process_event(w, h, seen); });
                 });
    };
    ask_member(
        w, observer, member_index(request.server), w.config.connect_timeout,
        [&w](auto& member) -> core::result<core::member_status>
        { return status_of(w, member); },
        answer);
}

void perform(world& w, int h, const ask_observers& request)
{
    observe(w, h, h, request);
    for (const auto& name : request.observers)
    {
        const int other = host_index(name);
        send(w, h, other,
             [&w, h, other, request]
             {
                 deliver(w, other,
                         [&w, h, other, request]
                         { observe(w, h, other, request); });
             });
    }
}

void perform(world& w, int h, const fence_member& request)
{
    const int m = member_index(request.server);
    ask_member(
        w, h, m, call_timeout,
        [&w, m, request](auto&)
        { return serve_fence(w, m, request.term, request.attempt); },
        [&w, h, request](auto result) {
            process_event(w, h, fence_answered{request.server, result});
        });
}

void perform(world& w, int h, const promote_member& request)
{
    const int m = member_index(request.server);
    ask_member(
        w, h, m, call_timeout,
        [&w, m, request](auto&)
        { return serve_promote(w, m, request.term, request.attempt); },
        [&w, h, request](auto result) {
            process_event(w, h, promote_answered{request.server, result});
        });
}

void perform(world& w, int h, const follow_primary& request)
{
    const int m = member_index(request.server);
    const int p = member_index(request.primary);
    ask_member(
        w, h, m, call_timeout,
        [&w, m, p, request](auto&)
        { return serve_follow(w, m, request.term, p); },
        [](const auto&) {});
}

void perform(world& w, int h, const publish_view& view)
{
    for (int other = 0; other < host_count; ++other)
    {
        if (other == h)
            continue;
        const view_learned update{view.term, view.primary};
        send(w, h, other,
             [&w, other, update]
             {
                 deliver(w, other,
                         [&w, other, update]
                         { process_event(w, other, update); });
             });
    }
}

void perform(world& w, int h, const report_to_coordinator& suspicion)
{
    const int other = w.hosts[h].believed_coordinator;
    const suspicion_reported report{suspicion.server, host_name(h)};
    send(w, h, other,
         [&w, other, report]
         {
             deliver(w, other,
                     [&w, other, report] { process_event(w, other, report); });
         });
}

void perform(world& w, int h, const report_progress& progress)
{
    w.steps.push_back({w.now, h, progress});
}

// Status polls.

struct status_poll
{
    int host = 0;
    int member = 0;
    core::time_point requested_at;
    core::time_point until;
    std::shared_ptr<bool> closed = std::make_shared<bool>(false);
};

void start_poll(world& w, int h, int m);

/// Answers a poll when the term, role or contact changes, or after its wait.
void hold_poll(world& w, const status_poll& poll,
               const core::member_status& known)
{
    const auto& member = w.members[poll.member];
    if (*poll.closed || !answers(member))
        return;
    const auto status = status_of(w, member);
    const bool changed = status.term != known.term ||
                         status.role != known.role ||
                         status.primary_contact != known.primary_contact;
    if (!changed && w.now < poll.until)
    {
        after(w, poll_check, [&w, poll, known] { hold_poll(w, poll, known); });
        return;
    }
    send(w, member_node(poll.member), poll.host,
         [&w, poll, status]
         {
             if (std::exchange(*poll.closed, true))
                 return;
             deliver(w, poll.host,
                     [&w, poll, status]
                     {
                         process_event(
                             w, poll.host,
                             status_received{server_name(poll.member), status,
                                             poll.requested_at});
                         start_poll(w, poll.host, poll.member);
                     });
         });
}

void fail_poll(world& w, const status_poll& poll)
{
    if (std::exchange(*poll.closed, true))
        return;
    deliver(w, poll.host,
            [&w, poll]
            {
                process_event(w, poll.host,
                              status_missed{server_name(poll.member)});
                after(w, poll_pause,
                      [&w, poll]
                      {
                          deliver(w, poll.host,
                                  [&w, poll]
                                  { start_poll(w, poll.host, poll.member); });
                      });
            });
}

void start_poll(world& w, int h, int m)
{
    const auto wait = w.config.poll_wait;
    const status_poll poll{h, m, w.now, w.now + wait};
    process_event(w, h, status_requested{server_name(m), wait});
    const auto known = w.hosts[h].state.members[server_name(m)].status.value_or(
        core::member_status{});
    after(w, wait + milliseconds(800), [&w, poll] { fail_poll(w, poll); });
    send(w, h, member_node(m),
         [&w, poll, known]
         {
             const auto& member = w.members[poll.member];
             if (!member.silent && !member.process_up)
                 send(w, member_node(poll.member), poll.host,
                      [&w, poll] { fail_poll(w, poll); });
             else
                 hold_poll(w, poll, known);
         });
}

/// Tries the primary on a new connection and reports a failure.
void probe_data_path(world& w, int h)
{
    const auto primary = w.hosts[h].state.view.primary;
    if (!primary)
        return;
    ask_member(
        w, h, member_index(*primary), w.config.connect_timeout,
        [&w](auto& member) -> core::result<core::member_status>
        { return status_of(w, member); },
        [&w, h, primary](const auto& result)
        {
            if (!core::ok(result))
                process_event(w, h, suspicion_reported{*primary, host_name(h)});
        });
}

std::vector<core::host_id> other_hosts(int h)
{
    std::vector<core::host_id> names;
    for (int other = 0; other < host_count; ++other)
        if (other != h)
            names.push_back(host_name(other));
    return names;
}

/// The first host that this host reaches is the coordinator of the group.
void update_role(world& w, int h)
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
    process_event(w, h, role_changed{coordinator, other_hosts(h)});
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

void process_event(world& w, int h, const event& input)
{
    auto& host = w.hosts[h];
    const auto actions = decide(host.state, input, w.now);
    for (const auto& requested : actions)
    {
        if (w.on_action)
            w.on_action(h, requested);
        deliver(w, h,
                [&w, h, requested] {
                    std::visit([&](const auto& a) { perform(w, h, a); },
                               requested);
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
    host.state.limits.row_review_interval = w.config.row_review_interval;
    host.timer_at = {};
    for (int m = 0; m < member_count; ++m)
        start_poll(w, h, m);
    if (w.config.automatic_roles)
        repeat_on_host(w, h, role_interval, [&w, h] { update_role(w, h); });
    if (w.config.data_path_reports)
        repeat_on_host(w, h, data_path_interval,
                       [&w, h] { probe_data_path(w, h); });
}

void set_coordinators(world& w, const std::set<int>& hosts)
{
    for (int h = 0; h < host_count; ++h)
    {
        w.hosts[h].believed_coordinator = hosts.empty() ? h : *hosts.begin();
        process_event(w, h, role_changed{hosts.count(h) != 0, other_hosts(h)});
    }
}

}  // namespace godwitbarrow::failover::sim
