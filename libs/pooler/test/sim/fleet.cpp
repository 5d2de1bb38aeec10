#include "sim/fleet.hpp"
#include "slots.hpp"

namespace godwitbarrow::pooler::sim
{
namespace detail
{
namespace
{

constexpr std::chrono::milliseconds tick{25};
constexpr std::chrono::milliseconds step{1};
constexpr std::size_t slots = 2;

void post(fleet& it, std::size_t host, const event& what);

std::chrono::milliseconds travel(fleet& it)
{
    return std::chrono::milliseconds(1 + it.random() % 12);
}

void after(fleet& it, core::duration time, std::function<void()> action)
{
    it.due.emplace(it.now + time, std::move(action));
}

/// Schedules the action after a travel time, and not before actions scheduled
/// earlier for the same receiver.
void after_others(fleet& it, core::time_point& last,
                  std::function<void()> action)
{
    last = std::max(last, it.now + travel(it));
    it.due.emplace(last, std::move(action));
}

/// Posts the event after a travel time, unless the host restarts in between.
void post_later(fleet& it, std::size_t host, event what)
{
    auto& h = it.hosts[host];
    after_others(it, h.last_arrival,
                 [&it, host, start = h.start, what = std::move(what)]
                 {
                     if (it.hosts[host].start == start)
                         post(it, host, what);
                 });
}

void send_next(fleet& it, std::size_t number);

void begin_session(fleet& it, std::size_t number)
{
    auto& c = it.callers[number];
    c.session = ++it.last_session;
    c.accepted = c.waiting = c.in_transaction = false;
    c.host = it.random() % host_count;
    const auto& routes = it.hosts[c.host].pooler.active_configuration.routes;
    model::caller_started(it.oracle, c.session, routes.at(c.database));
    post_later(it, c.host, caller_started{c.session, c.database});
}

void end_session(fleet& it, std::size_t number)
{
    auto& c = it.callers[number];
    model::caller_ended(it.oracle, c.session);
    c.script.clear();
    begin_session(it, number);
}

caller* find_caller(fleet& it, std::uint64_t session, std::size_t& number)
{
    for (number = 0; number < caller_count; ++number)
        if (it.callers[number].session == session)
            return &it.callers[number];
    return nullptr;
}

void handle_reply(fleet& it, std::uint64_t session, const answer& what)
{
    std::size_t number = 0;
    auto* c = find_caller(it, session, number);
    if (!c)
        return;
    c->waiting = false;
    model::statement_answered(it.oracle, session, what, it.now);
    const bool failed = failure_of(what) != nullptr;
    it.succeeded += failed ? 0 : 1;
    c->in_transaction = what.state != session_state::idle;
    if (failed)
    {
        c->script.clear();
        if (c->in_transaction)
            c->script.push_back({verb::rollback, {}, false, {}});
    }
    after(it, travel(it),
          [&it, number, session]
          {
              if (it.callers[number].session == session)
                  send_next(it, number);
          });
}

void send_next(fleet& it, std::size_t number)
{
    auto& c = it.callers[number];
    if (c.waiting || c.script.empty() || !c.accepted)
        return;
    query q;
    q.id = {"q" + std::to_string(++it.last_id)};
    q.stmt = c.script.front();
    c.script.pop_front();
    c.waiting = true;
    model::statement_sent(it.oracle, c.session, q, it.now);
    post_later(it, c.host, caller_query{c.session, std::move(q)});
}

void run_arrived(fleet& it, std::size_t host, connection_number number,
                 const link_ptr& l);

void run_one(fleet& it, std::size_t host, connection_number number,
             const link_ptr& l)
{
    l->running = false;
    if (l->silent || l->arrived.empty() ||
        it.group.sessions.count(l->session) == 0)
        return;
    const auto q = l->arrived.front();
    l->arrived.pop_front();
    const auto out = model::execute(it.group, l->session, q, it.now);
    if (out.what)
        model::statement_ran(it.oracle, it.group, *out.what);
    if (out.answer && !l->loses_answers)
        after_others(it, it.hosts[host].last_arrival,
                     [&it, host, start = it.hosts[host].start, number, l,
                      a = *out.answer]
                     {
                         if (!l->silent && it.hosts[host].start == start)
                             post(it, host, member_answered{number, a});
                     });
    run_arrived(it, host, number, l);
}

void run_arrived(fleet& it, std::size_t host, connection_number number,
                 const link_ptr& l)
{
    if (l->running || l->arrived.empty())
        return;
    l->running = true;
    after(it, travel(it),
          [&it, host, number, l] { run_one(it, host, number, l); });
}

struct action_handler
{
    fleet& it;
    std::size_t host;

    void operator()(const accept_caller& a) const
    {
        std::size_t number = 0;
        if (auto* c = find_caller(it, a.session, number))
            c->accepted = true;
    }
    void operator()(const refuse_caller& a) const
    {
        close(a.session);
    }
    void operator()(const reply_to_caller& a) const
    {
        std::size_t number = 0;
        if (auto* c = find_caller(it, a.session, number))
            after_others(it, c->last_arrival,
                         [&it = it, a]
                         { handle_reply(it, a.session, a.reply); });
    }
    void operator()(const close_caller& a) const
    {
        close(a.session);
    }
    void operator()(const confirm_primary&) const {}
    void operator()(const open_connection& a) const
    {
        const auto& m = it.group.members.at(a.server);
        if (!it.reachable)
            return;
        if (!m.running)
            return post_later(
                it, host,
                member_connection_lost{a.connection, std::nullopt, "refused"});
        auto l = std::make_shared<link>();
        l->server = a.server;
        l->session = model::open_session(it.group, a.server);
        it.hosts[host].links.emplace(a.connection, std::move(l));
        post_later(it, host, member_connected{a.connection, std::nullopt});
    }
    void operator()(const send_to_member& a) const
    {
        const auto n = it.hosts[host].links.find(a.connection);
        if (n == it.hosts[host].links.end())
            return;
        const auto& l = n->second;
        l->arrived.insert(l->arrived.end(), a.statements.begin(),
                          a.statements.end());
        run_arrived(it, host, a.connection, l);
    }
    void operator()(const close_connection& a) const
    {
        const auto n = it.hosts[host].links.find(a.connection);
        if (n == it.hosts[host].links.end())
            return;
        // A member detects the end of a silent connection late or never.
        const auto time = n->second->silent ? 3000ms : travel(it);
        after(it, time,
              [&it = it, session = n->second->session]
              { model::close_session(it.group, session); });
        it.hosts[host].links.erase(n);
    }
    void operator()(const decision_note& a) const
    {
        if (a.about_request)
            it.last_failure =
                a.message + " " + a.request.value + ": " + a.detail;
    }
    void operator()(const statement_ended&) const {}
    /// The simulated deployment has no quotas.
    void operator()(const borrow_operations&) const {}

    void close(std::uint64_t session) const
    {
        std::size_t number = 0;
        if (auto* c = find_caller(it, session, number))
            after_others(it, c->last_arrival,
                         [&it = it, session, number]
                         {
                             if (it.callers[number].session == session)
                                 end_session(it, number);
                         });
    }
};

void post(fleet& it, std::size_t host, const event& what)
{
    auto& h = it.hosts[host];
    // Events that arrived while the host was frozen are handled first.
    if (it.now < h.frozen_until || !h.held.empty())
        return h.held.push_back(what);
    for (const auto& a : decide(h.pooler, what, it.now))
        std::visit(action_handler{it, host}, a);
    if (const auto lost = test::find_lost_slot(it.hosts[host].pooler))
        it.oracle.violations.push_back("lost slot: " + *lost);
}

void release_frozen(fleet& it, std::size_t host)
{
    auto& h = it.hosts[host];
    if (it.now < h.frozen_until)
        return;
    auto held = std::move(h.held);
    h.held.clear();
    for (const auto& what : held)
        post(it, host, what);
}

route make_route(const core::group_id& group, read_policy reads,
                 std::chrono::milliseconds max_age)
{
    route it;
    it.group = group;
    it.reads = reads;
    it.max_age = max_age;
    it.statement_timeout = 800ms;
    it.objective = 800ms;
    return it;
}

configuration make_configuration(const core::group_id& group)
{
    configuration it;
    it.version = 1;
    it.groups[group].max_connections = 24;
    it.transaction_idle = 3s;
    it.routes["newest"] = make_route(group, read_policy::newest, 0ms);
    it.routes["bounded"] = make_route(group, read_policy::bounded_age, 400ms);
    it.routes["own"] = make_route(group, read_policy::own_writes, 600ms);
    return it;
}

void start_host(fleet& it, std::size_t number)
{
    auto& h = it.hosts[number];
    h.pooler = {};
    h.pooler.settings.data_centre = {"north"};
    h.pooler.live_hosts = host_count;
    post(it, number, configuration_changed{make_configuration(it.group.name)});
}

registration describe(fleet& it, const core::server_id& server)
{
    registration r;
    r.server = server;
    r.group = it.group.name;
    r.address = {"10.0.0.1", 5000};
    r.data_centre = {server.value == "c" ? "south" : "north"};
    r.slots = slots;
    r.leaving = it.leaving.count(server) > 0;
    if (model::leads(it.group, server))
        r.role = core::member_role::primary;
    r.version = ++it.registered;
    return r;
}

void register_with(fleet& it, std::size_t host, const members_changed& what)
{
    after(it, it.registry_lag + travel(it),
          [&it, host, start = it.hosts[host].start, what]
          {
              auto& h = it.hosts[host];
              const auto version = what.registrations.back().version;
              if (h.start != start || version < h.registered)
                  return;
              h.registered = version;
              post(it, host, what);
          });
}

}  // namespace
}  // namespace detail

fleet::fleet(std::uint32_t seed)
    : random(seed), group(model::make_group("quotes", {"a", "b", "c"}))
{
    group.promotion_time = 100ms;
    for (std::size_t n = 0; n < host_count; ++n)
        detail::start_host(*this, n);
    publish(*this);
    run_for(*this, 200ms);
    constexpr std::array<const char*, 3> databases{"newest", "bounded", "own"};
    for (std::size_t n = 0; n < caller_count; ++n)
    {
        callers[n].database = databases[n % databases.size()];
        detail::begin_session(*this, n);
    }
}

void start_script(fleet& it, std::size_t number, std::deque<statement> script)
{
    auto& c = it.callers[number];
    if (c.waiting || !c.script.empty() || !c.accepted)
        return;
    c.script = std::move(script);
    detail::send_next(it, number);
}

void disconnect_caller(fleet& it, std::size_t number)
{
    const auto session = it.callers[number].session;
    detail::post_later(it, it.callers[number].host,
                       caller_disconnected{session});
    detail::end_session(it, number);
}

void run_for(fleet& it, core::duration time)
{
    for (const auto end = it.now + time; it.now < end;)
    {
        it.now += detail::step;
        if (model::advance(it.group, it.now))
            publish(it);
        for (auto n = it.due.begin(); n != it.due.end() && n->first <= it.now;
             n = it.due.begin())
        {
            const auto action = std::move(n->second);
            it.due.erase(n);
            action();
        }
        for (std::size_t n = 0; n < host_count; ++n)
        {
            detail::release_frozen(it, n);
            if (it.now.time_since_epoch() % detail::tick == 0ns &&
                it.now >= it.hosts[n].frozen_until)
                detail::post(it, n, timer_tick{});
        }
    }
}

void promote(fleet& it, const core::server_id& to)
{
    if (!model::order_promotion(it.group, to, it.now))
        return;
    // The host that ordered the promotion learns of it immediately.
    const auto host = it.random() % host_count;
    detail::after(
        it, it.group.promotion_time + 5ms,
        [&it, host, to] {
            detail::post(it, host, primary_confirmed{it.group.name, to, true});
        });
}

void crash_member(fleet& it, const core::server_id& server, bool silently)
{
    model::stop_member(it.group, server);
    for (std::size_t h = 0; h < host_count; ++h)
        for (const auto& [number, l] : it.hosts[h].links)
        {
            if (l->server != server || l->silent)
                continue;
            l->silent = true;
            if (!silently)
                detail::post_later(
                    it, h,
                    member_connection_lost{number, std::nullopt, "reset"});
        }
}

void start_members(fleet& it)
{
    for (auto& [id, m] : it.group.members)
        if (!m.running)
            model::start_member(it.group, id);
    publish(it);
}

void restart_host(fleet& it, std::size_t host)
{
    auto& h = it.hosts[host];
    ++h.start;
    h.held.clear();
    h.frozen_until = {};
    for (const auto& [number, l] : h.links)
    {
        l->silent = true;
        detail::after(it, 50ms,
                      [&it, session = l->session]
                      { model::close_session(it.group, session); });
    }
    h.links.clear();
    detail::start_host(it, host);
    for (std::size_t n = 0; n < caller_count; ++n)
        if (it.callers[n].host == host)
            detail::end_session(it, n);
    publish(it);
}

void freeze_host(fleet& it, std::size_t host, core::duration time)
{
    it.hosts[host].frozen_until = it.now + time;
}

void break_links(fleet& it, std::size_t host, bool silently)
{
    for (const auto& [number, l] : it.hosts[host].links)
    {
        l->silent = true;
        detail::after(it, 100ms,
                      [&it, session = l->session]
                      { model::close_session(it.group, session); });
        if (!silently)
            detail::post_later(
                it, host,
                member_connection_lost{number, std::nullopt, "reset"});
    }
}

void lose_answers(fleet& it, std::size_t host)
{
    for (const auto& [number, l] : it.hosts[host].links)
        l->loses_answers = true;
}

void publish(fleet& it)
{
    members_changed what;
    for (const auto& [id, m] : it.group.members)
        what.registrations.push_back(detail::describe(it, id));
    for (std::size_t n = 0; n < host_count; ++n)
        detail::register_with(it, n, what);
}

void clear_faults(fleet& it)
{
    it.reachable = true;
    it.leaving.clear();
    it.registry_lag = 50ms;
    for (auto& [id, m] : it.group.members)
    {
        m.receives = true;
        m.failing_percent = 0;
        m.lag = 60ms;
    }
    start_members(it);
}

}  // namespace godwitbarrow::pooler::sim
