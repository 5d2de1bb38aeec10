#include "simulation.hpp"

#include <boost/test/unit_test.hpp>

namespace godwitbarrow::test
{
namespace
{

constexpr auto poll_period = 100ms;
constexpr auto replication_period = 10ms;

serving::group_settings make_settings(std::size_t host)
{
    serving::group_settings settings;
    settings.group = {"quotes"};
    settings.self = {"h" + std::to_string(host)};
    for (std::size_t n = 0; n < member_count; ++n)
        settings.servers.push_back({server_name(n), slots, connections});
    return settings;
}

}  // namespace

simulation::simulation(std::uint64_t seed) : random(seed)
{
    for (std::size_t n = 0; n < session_count; ++n)
        sessions[n].name = "s" + std::to_string(n);
    for (std::size_t n = 0; n < host_count; ++n)
        start_host(n);
    replicate_periodically();
    run_for(300ms);
}

core::duration::rep simulation::random_below(std::uint64_t below)
{
    random = random * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<core::duration::rep>((random >> 33U) % below);
}

void simulation::schedule_after(core::duration delay,
                                std::function<void()> task)
{
    schedule.emplace(now + delay, std::move(task));
}

void simulation::deliver_later(std::size_t host, core::duration delay,
                               const serving::event& event)
{
    const auto incarnation = hosts[host].incarnation;
    schedule_after(delay,
                   [this, host, incarnation, event]
                   {
                       if (hosts[host].incarnation == incarnation)
                           deliver(host, event);
                   });
}

/// Fires every timer exactly when it is due.
void simulation::run_for(core::duration time)
{
    const auto end = now + time;
    while (true)
    {
        auto next = schedule.begin()->first;
        std::optional<std::size_t> ticking;
        for (std::size_t n = 0; n < host_count; ++n)
        {
            const auto due = serving::next_wakeup(hosts[n].state);
            if (!due || *due >= next)
                continue;
            next = *due;
            ticking = n;
        }
        if (next > end)
            break;
        now = std::max(now, next);
        if (ticking)
        {
            auto& host = hosts[*ticking];
            host.repeated_ticks =
                host.last_tick == now ? host.repeated_ticks + 1 : 0;
            host.last_tick = now;
            if (host.repeated_ticks > 100)
            {
                report_violation(
                    "a timer was due more than 100 times in a row at the same "
                    "time");
                schedule_after(0s, [] {});
                return;
            }
            deliver(*ticking, serving::tick{});
            continue;
        }
        auto task = std::move(schedule.begin()->second);
        schedule.erase(schedule.begin());
        task();
    }
    now = end;
}

void simulation::replicate_periodically()
{
    for (std::size_t n = 0; n < member_count; ++n)
        if (!paused[n])
            replicate(model, n, static_cast<std::size_t>(random_below(4)));
    schedule_after(replication_period, [this] { replicate_periodically(); });
}

/// The member reports the status that it has when the delayed request reaches
/// it.
void simulation::poll_member(std::size_t host, std::size_t member)
{
    const auto incarnation = hosts[host].incarnation;
    const auto requested_at = now;
    schedule_after(
        std::chrono::milliseconds(1 + random_below(80)),
        [this, host, member, requested_at]
        {
            if (hosts[host].cut[member])
                return deliver_later(
                    host, 50ms, serving::status_missed{server_name(member)});
            deliver_later(host, std::chrono::milliseconds(1 + random_below(20)),
                          serving::status_received{
                              server_name(member),
                              model.members[member].status(), requested_at});
        });
    schedule_after(poll_period,
                   [this, host, member, incarnation]
                   {
                       if (hosts[host].incarnation == incarnation)
                           poll_member(host, member);
                   });
}

void simulation::start_host(std::size_t host)
{
    auto& target = hosts[host];
    ++target.incarnation;
    target.state = serving::make_group_state(
        make_settings(host),
        static_cast<std::uint64_t>(random_below(1U << 30U)));
    target.open.clear();
    target.unresponsive.clear();
    deliver_view(host, 1ms);
    std::vector<core::server_id> owned;
    for (std::size_t n = 0; n < member_count; ++n)
        owned.push_back(server_name(n));
    deliver(host, serving::ownership_changed{owned});
    for (const auto& server : target.leaving)
        deliver(host, serving::server_leaving{server, true});
    for (std::size_t n = 0; n < member_count; ++n)
        poll_member(host, n);
}

/// The callers whose requests were on the restarted host get "unknown" from the
/// entry hosts.
void simulation::restart_host(std::size_t host)
{
    for (auto& [id, issued] : calls)
        if (issued.host == host && issued.result == call_result::pending)
            record_result(issued, call_result::unknown);
    for (auto& member : model.members)
        for (auto& [key, session] : member.sessions)
            if (std::get<0>(key) == host)
                session = {};
    start_host(host);
}

void simulation::deliver(std::size_t host, const serving::event& event)
{
    for (const auto& action : serving::decide(hosts[host].state, event, now))
        std::visit([&](const auto& typed_action)
                   { perform(host, typed_action); },
                   action);
}

void simulation::perform(std::size_t /*host*/, const serving::answer& action)
{
    const auto found = calls.find(action.id);
    if (found == calls.end())
        return report_violation("answer to an unknown request " +
                                action.id.value);
    auto& answered = found->second;
    if (const auto* result = std::get_if<core::completed>(&action.result))
        return record_completion(answered, *result);
    record_result(answered, std::holds_alternative<core::not_run>(action.result)
                                ? call_result::not_run
                                : call_result::unknown);
    auto& session = sessions[answered.session];
    const auto* rejection = std::get_if<core::not_run>(&action.result);
    answered.rolled_back = rejection && rejection->reason.kind ==
                                            core::error_kind::transaction_lost;
    const bool continues = rejection && !answered.rolled_back;
    if (answered.request.transaction == session.transaction && !continues)
        session.transaction.reset();
}

void simulation::perform(std::size_t /*host*/, const serving::redirect& action)
{
    record_result(calls.at(action.id), call_result::not_run);
}

void simulation::perform(std::size_t host,
                         const serving::open_connection& action)
{
    const auto member = member_of(action.server);
    hosts[host].open.insert(action.connection);
    if (hosts[host].cut[member])
        return deliver_later(
            host, 20ms,
            serving::connection_closed{action.server, action.connection});
    deliver_later(host, std::chrono::milliseconds(5 + random_below(10)),
                  serving::connection_opened{action.server, action.connection});
}

void simulation::perform(std::size_t host,
                         const serving::close_connection& action)
{
    hosts[host].open.erase(action.connection);
    const session_key key{host, hosts[host].incarnation, action.connection};
    const auto member = member_of(action.server);
    if (hosts[host].unresponsive.count(action.connection) == 0)
        schedule_after(3ms, [this, key, member]
                       { model.members[member].sessions.erase(key); });
}

void simulation::perform(std::size_t host,
                         const serving::probe_connection& action)
{
    const bool unreachable =
        hosts[host].unresponsive.count(action.connection) != 0 ||
        hosts[host].cut[member_of(action.server)];
    if (!unreachable)
        deliver_later(
            host, 2ms,
            serving::connection_opened{action.server, action.connection});
}

void simulation::perform(std::size_t host,
                         const serving::refresh_view& /*unused*/)
{
    deliver_view(host, std::chrono::milliseconds(5 + random_below(50)));
}

void simulation::perform(std::size_t /*host*/,
                         const serving::report_suspicion& /*unused*/)
{
}

void simulation::deliver_view(std::size_t host, core::duration delay)
{
    if (hosts[host].isolated)
        return;
    deliver_later(
        host, delay,
        serving::view_changed{model.newest_term, server_name(model.primary)});
}

void simulation::perform(std::size_t host,
                         const serving::send_statement& action)
{
    check_send(host, action);
    auto& host_state = hosts[host];
    const auto member = member_of(action.server);
    const session_key key{host, host_state.incarnation, action.connection};
    auto kind = fault::none;
    if (!faults.empty())
    {
        kind = faults.front();
        faults.pop_front();
    }
    const auto fail = [&](core::duration delay, bool sent)
    {
        deliver_later(host, delay,
                      serving::dispatch_failed{action.dispatch, sent, "reset"});
    };
    if (host_state.unresponsive.count(action.connection) != 0 ||
        host_state.cut[member])
        kind = fault::request_lost;
    if (kind == fault::reset_before_send)
        return fail(1ms, false);
    if (kind == fault::reset_before_run)
        return fail(2ms, true);
    if (kind == fault::request_lost)
        return;
    const auto incarnation = host_state.incarnation;
    const auto request_delay = core::duration(200us + 1us * random_below(2000));
    const auto reply_delay =
        core::duration(kind == fault::slow ? 50ms + 1ms * random_below(600)
                                           : 1ms * random_below(3));
    schedule_after(
        kind == fault::slow
            ? request_delay + core::duration(1ms * random_below(300))
            : request_delay,
        [=]
        {
            core::backend_reply reply;
            reply.id = action.request.id;
            reply.rows = {action.request.statement};
            if (kind == fault::busy)
                reply.status = core::reply_status::busy;
            else if (kind == fault::rejected)
                reply.status = core::reply_status::rejected;
            else
                reply = execute(model, member, key, action);
            if (kind == fault::wrong_reply)
            {
                reply.id = {"earlier"};
                reply.rows = {"earlier"};
            }
            if (kind == fault::reply_lost ||
                hosts[host].incarnation != incarnation)
                return;
            if (kind == fault::reset_after_run)
                return deliver_later(
                    host, 1ms,
                    serving::dispatch_failed{action.dispatch, true, "reset"});
            deliver_later(host, reply_delay,
                          serving::reply_received{action.dispatch, reply});
        });
}

}  // namespace godwitbarrow::test
