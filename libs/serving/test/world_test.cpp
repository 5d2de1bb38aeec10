#include "world.hpp"

#include <boost/test/unit_test.hpp>

namespace godwitbarrow::test
{
namespace
{

constexpr auto poll_period = 100ms;
constexpr auto replication_period = 10ms;

serving::group_settings settings_of(std::size_t host)
{
    serving::group_settings it;
    it.group = {"quotes"};
    it.self = {"h" + std::to_string(host)};
    for (std::size_t n = 0; n < member_count; ++n)
        it.servers.push_back({server_name(n), slots, connections});
    return it;
}

}  // namespace

world::world(std::uint64_t seed) : random(seed)
{
    for (std::size_t n = 0; n < session_count; ++n)
        sessions[n].name = "s" + std::to_string(n);
    for (std::size_t n = 0; n < host_count; ++n)
        start_host(n);
    step_background();
    run_for(300ms);
}

core::duration::rep world::draw(std::uint64_t below)
{
    random = random * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<core::duration::rep>((random >> 33U) % below);
}

void world::after(core::duration delay, std::function<void()> what)
{
    schedule.emplace(now + delay, std::move(what));
}

void world::later(std::size_t host, core::duration delay,
                  const serving::event& event)
{
    const auto run = hosts[host].run;
    after(delay,
          [this, host, run, event]
          {
              if (hosts[host].run == run)
                  give(host, event);
          });
}

/// Every timer fires exactly when it is due.
void world::run_for(core::duration time)
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
            host.ticks = host.ticked == now ? host.ticks + 1 : 0;
            host.ticked = now;
            if (host.ticks > 100)
            {
                violate("a timer never ends");
                after(0s, [] {});
                return;
            }
            give(*ticking, serving::tick{});
            continue;
        }
        auto what = std::move(schedule.begin()->second);
        schedule.erase(schedule.begin());
        what();
    }
    now = end;
}

void world::step_background()
{
    for (std::size_t n = 0; n < member_count; ++n)
        if (!paused[n])
            replicate(model, n, static_cast<std::size_t>(draw(4)));
    after(replication_period, [this] { step_background(); });
}

/// The member answers with what it is some time after the request was sent.
void world::poll(std::size_t host, std::size_t member)
{
    const auto run = hosts[host].run;
    const auto asked = now;
    after(std::chrono::milliseconds(1 + draw(80)),
          [this, host, member, asked]
          {
              if (hosts[host].cut[member])
                  return later(host, 50ms,
                               serving::status_missed{server_name(member)});
              later(host, std::chrono::milliseconds(1 + draw(20)),
                    serving::status_received{server_name(member),
                                             model.members[member].status(),
                                             asked});
          });
    after(poll_period,
          [this, host, member, run]
          {
              if (hosts[host].run == run)
                  poll(host, member);
          });
}

void world::start_host(std::size_t host)
{
    auto& it = hosts[host];
    ++it.run;
    it.state = serving::make_group_state(
        settings_of(host), static_cast<std::uint64_t>(draw(1U << 30U)));
    it.open.clear();
    it.silent.clear();
    tell_view(host, 1ms);
    std::vector<core::server_id> owned;
    for (std::size_t n = 0; n < member_count; ++n)
        owned.push_back(server_name(n));
    give(host, serving::ownership_changed{owned});
    for (const auto& server : it.leaving)
        give(host, serving::server_leaving{server, true});
    for (std::size_t n = 0; n < member_count; ++n)
        poll(host, n);
}

/// The entry hosts tell the callers of a lost host "unknown".
void world::restart_host(std::size_t host)
{
    for (auto& [id, it] : calls)
        if (it.host == host && it.result == told::nothing)
            settle(it, told::unknown);
    for (auto& member : model.members)
        for (auto& [key, session] : member.sessions)
            if (std::get<0>(key) == host)
                session = {};
    start_host(host);
}

void world::give(std::size_t host, const serving::event& event)
{
    for (const auto& it : serving::decide(hosts[host].state, event, now))
        std::visit([&](const auto& known) { perform(host, known); }, it);
}

void world::perform(std::size_t /*host*/, const serving::answer& it)
{
    const auto found = calls.find(it.id);
    if (found == calls.end())
        return violate("answer to an unknown request " + it.id.value);
    auto& known = found->second;
    if (const auto* result = std::get_if<core::completed>(&it.result))
        return complete(known, *result);
    settle(known, std::holds_alternative<core::not_run>(it.result)
                      ? told::not_run
                      : told::unknown);
    auto& session = sessions[known.session];
    const auto* refused = std::get_if<core::not_run>(&it.result);
    known.rolled_back =
        refused && refused->reason.kind == core::error_kind::transaction_lost;
    const bool goes_on = refused && !known.rolled_back;
    if (known.request.transaction == session.transaction && !goes_on)
        session.transaction.reset();
}

void world::perform(std::size_t /*host*/, const serving::redirect& it)
{
    settle(calls.at(it.id), told::not_run);
}

void world::perform(std::size_t host, const serving::open_connection& it)
{
    const auto member = member_of(it.server);
    hosts[host].open.insert(it.connection);
    if (hosts[host].cut[member])
        return later(host, 20ms,
                     serving::connection_closed{it.server, it.connection});
    later(host, std::chrono::milliseconds(5 + draw(10)),
          serving::connection_opened{it.server, it.connection});
}

void world::perform(std::size_t host, const serving::close_connection& it)
{
    hosts[host].open.erase(it.connection);
    const session_key key{host, hosts[host].run, it.connection};
    const auto member = member_of(it.server);
    if (hosts[host].silent.count(it.connection) == 0)
        after(3ms, [this, key, member]
              { model.members[member].sessions.erase(key); });
}

void world::perform(std::size_t host, const serving::probe_connection& it)
{
    const bool dead = hosts[host].silent.count(it.connection) != 0 ||
                      hosts[host].cut[member_of(it.server)];
    if (!dead)
        later(host, 2ms, serving::connection_opened{it.server, it.connection});
}

void world::perform(std::size_t host, const serving::refresh_view& /*unused*/)
{
    tell_view(host, std::chrono::milliseconds(5 + draw(50)));
}

void world::perform(std::size_t /*host*/,
                    const serving::report_suspicion& /*unused*/)
{
}

void world::tell_view(std::size_t host, core::duration delay)
{
    if (hosts[host].isolated)
        return;
    later(host, delay,
          serving::view_changed{model.newest, server_name(model.primary)});
}

void world::perform(std::size_t host, const serving::send_statement& it)
{
    check_send(host, it);
    auto& of_host = hosts[host];
    const auto member = member_of(it.server);
    const session_key key{host, of_host.run, it.connection};
    auto kind = fault::none;
    if (!faults.empty())
    {
        kind = faults.front();
        faults.pop_front();
    }
    const auto fail = [&](core::duration delay, bool sent)
    {
        later(host, delay,
              serving::dispatch_failed{it.dispatch, sent, "reset"});
    };
    if (of_host.silent.count(it.connection) != 0 || of_host.cut[member])
        kind = fault::request_lost;
    if (kind == fault::reset_before_send)
        return fail(1ms, false);
    if (kind == fault::reset_before_run)
        return fail(2ms, true);
    if (kind == fault::request_lost)
        return;
    const auto run = of_host.run;
    const auto way = core::duration(200us + 1us * draw(2000));
    const auto back = core::duration(
        kind == fault::slow ? 50ms + 1ms * draw(600) : 1ms * draw(3));
    after(kind == fault::slow ? way + core::duration(1ms * draw(300)) : way,
          [=]
          {
              core::backend_reply reply;
              reply.id = it.request.id;
              reply.rows = {it.request.statement};
              if (kind == fault::busy)
                  reply.status = core::reply_status::busy;
              else if (kind == fault::rejected)
                  reply.status = core::reply_status::rejected;
              else
                  reply = execute(model, member, key, it);
              if (kind == fault::wrong_reply)
              {
                  reply.id = {"earlier"};
                  reply.rows = {"earlier"};
              }
              if (kind == fault::reply_lost || hosts[host].run != run)
                  return;
              if (kind == fault::reset_after_run)
                  return later(
                      host, 1ms,
                      serving::dispatch_failed{it.dispatch, true, "reset"});
              later(host, back, serving::reply_received{it.dispatch, reply});
          });
}

}  // namespace godwitbarrow::test
