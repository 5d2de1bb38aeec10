#include "placement.hpp"

#include <algorithm>
#include <tuple>

#include "connections.hpp"
#include "freshness.hpp"

namespace godwitbarrow::pooler::detail
{
namespace
{

core::request_id queue_key(session_number number)
{
    return {std::to_string(number)};
}

session_number session_of(const admission::queued& it)
{
    return std::stoull(it.id.value);
}

admission::queue_settings queue_limits()
{
    admission::queue_settings it;
    it.max_entries = 2000;
    return it;
}

/// How long a statement may wait for a member. A caller that is refused this
/// early has time to try again, perhaps through another host.
core::duration longest_wait(const context& in, const route& by)
{
    return core::duration(by.objective) / in.pooler.settings.wait_divisor;
}

admission::queued entry_for(const context& in, session_number number,
                            const caller_session& s)
{
    admission::queued it;
    it.id = queue_key(number);
    it.importance = s.active_route.importance;
    it.arrived = s.current->arrived;
    it.deadline = std::min(s.current->deadline,
                           in.now + longest_wait(in, s.active_route));
    return it;
}

/// What a waiting statement could use now.
struct choice
{
    core::server_id server;
    connection_number connection = 0;
};

bool passed_over(const member& m, const pending_statement& p,
                 const pooler_settings& settings, core::time_point now)
{
    if (m.record.leaving || p.excluded.count(m.record.server) > 0)
        return true;
    if (m.lagging_until && *m.lagging_until > now)
        return true;
    return m.failed_at && now - *m.failed_at < settings.failed_back_off;
}

/// Members that may run a read of bounded age, best first: near ones, then
/// those with the fewest statements; the primary last, since only it can run
/// writes.
std::vector<core::server_id> read_candidates(const context& in, const group& g,
                                             const pending_statement& p)
{
    using rating = std::tuple<bool, bool, std::size_t, core::server_id>;
    std::vector<rating> rated;
    for (const auto& [id, m] : g.members)
    {
        if (passed_over(m, p, in.pooler.settings, in.now))
            continue;
        const bool far = m.record.data_centre != in.pooler.settings.data_centre;
        rated.emplace_back(g.primary == id, far, m.running, id);
    }
    std::sort(rated.begin(), rated.end());
    std::vector<core::server_id> out;
    out.reserve(rated.size());
    for (auto& it : rated)
        out.push_back(std::move(std::get<core::server_id>(it)));
    return out;
}

std::vector<core::server_id> candidates(const context& in, const group& g,
                                        const caller_session& s)
{
    if (!s.current->primary_only && required_position(g, s, in.pooler.settings))
        if (auto reads = read_candidates(in, g, *s.current); !reads.empty())
            return reads;
    const auto primary = primary_candidate(g, in.pooler.settings, in.now);
    if (!primary)
        return {};
    // While a primary is searched for, a read that a replica refused as
    // lagging would be refused there again.
    if (!s.current->primary_only && primary != g.primary &&
        s.current->excluded.count(*primary) > 0)
        return {};
    return {*primary};
}

/// A connection that the statement can have now. If the best member has none
/// that is idle, one is opened there for later statements.
std::optional<choice> choose(context& in, group& g, const caller_session& s)
{
    bool opened = false;
    for (const auto& id : candidates(in, g, s))
    {
        auto& m = g.members.at(id);
        if (m.running >= running_limit(in.pooler, m))
            continue;
        if (m.busy_until && *m.busy_until > in.now)
            continue;
        const auto number = pick_idle(in.pooler, m, s);
        if (number != 0)
            return choice{id, number};
        if (!opened)
            open_if_allowed(in, g, m);
        opened = true;
    }
    return std::nullopt;
}

void append(backend_connection& c, std::vector<query>& to, query what,
            purpose why)
{
    c.outstanding.push_back(why);
    to.push_back(std::move(what));
}

/// The caller's statement as its member knows it.
query for_member(const caller_session& s)
{
    auto out = s.current->request;
    if (out.stmt.kind == verb::execute)
        out.stmt.name = s.prepared.at(out.stmt.name).member_name;
    return out;
}

void note_write(caller_session& s)
{
    if (s.tx.phase != transaction_phase::none &&
        writes_data(s, s.current->request.stmt))
        s.tx.wrote = true;
}

void start_on(context& in, group& g, session_number number, const choice& at)
{
    auto& s = in.pooler.sessions.at(number);
    auto& p = *s.current;
    auto& c = in.pooler.connections.at(at.connection);
    c.phase = connection_phase::busy;
    c.user = number;
    c.phase_since = in.now;
    c.sent = in.now;
    ++g.members.at(at.server).running;
    p.connection = at.connection;
    p.queued = false;
    p.holds_slot = true;
    ++p.attempts;

    std::vector<query> out;
    for (auto& it : setup_statements(c, s))
        append(c, out, std::move(it), purpose::setup);
    const auto& what = p.request.stmt;
    const bool in_transaction = s.tx.phase != transaction_phase::none;
    const auto position = p.primary_only
                              ? std::nullopt
                              : required_position(g, s, in.pooler.settings);
    if (in_transaction && s.tx.read_only && position)
    {
        append(c, out, {{}, {verb::begin_read, {}, false, {}}, position},
               purpose::begin_read);
    }
    else if (in_transaction || (!position && !writes_data(s, what)))
    {
        // Only a primary accepts a plain transaction, so a read in one cannot
        // run on a primary that was replaced.
        append(c, out, {{}, {verb::begin, {}, false, {}}, std::nullopt},
               purpose::begin_plain);
    }
    else
    {
        auto q = for_member(s);
        if (!writes_data(s, what))
            q.after = position;
        append(c, out, std::move(q), purpose::caller);
        p.sent = in.now;
    }
    in.out.push_back(send_to_member{at.connection, std::move(out)});
}

void dispatch_queue(context& in, group& g, admission::queue_state& queue)
{
    const auto limits = queue_limits();
    while (admission::waiting_count(queue) > 0)
    {
        std::optional<choice> chosen;
        // Entries of one session key and policy differ in what they may use,
        // so a later entry can be ready when the first is not.
        const auto ready = [&](const admission::queued& entry)
        {
            const auto& s = in.pooler.sessions.at(session_of(entry));
            chosen = choose(in, g, s);
            return chosen.has_value();
        };
        const auto next = admission::take_next(queue, limits, ready);
        if (!next)
            return;
        const auto number = session_of(*next);
        // The last entry that was asked need not be the one taken.
        chosen = choose(in, g, in.pooler.sessions.at(number));
        if (!chosen)
            return;
        start_on(in, g, number, *chosen);
    }
}

void size_queues(context& in, group& g)
{
    std::size_t all = 0;
    std::size_t primary = 2;
    for (const auto& [id, m] : g.members)
    {
        if (m.record.leaving && g.primary != id)
            continue;
        all += running_limit(in.pooler, m);
        if (g.primary == id)
            primary = running_limit(in.pooler, m);
    }
    g.primary_queue.slots = primary;
    g.read_queue.slots = std::max<std::size_t>(all, 1);
}

}  // namespace

bool writes_data(const caller_session& s, const statement& what)
{
    if (what.kind != verb::execute)
        return what.kind == verb::write;
    const auto it = s.prepared.find(what.name);
    return it != s.prepared.end() && it->second.writes;
}

admission::queue_state& queue_of(group& g, const pending_statement& p)
{
    return p.primary_only ? g.primary_queue : g.read_queue;
}

void queue_statement(context& in, session_number number)
{
    auto& s = in.pooler.sessions.at(number);
    auto& p = *s.current;
    const auto at = in.pooler.groups.find(s.active_route.group);
    if (at == in.pooler.groups.end() || at->second.members.empty())
        return fail_statement(in, number, failure_code::busy,
                              "no member of the group is registered");
    auto& g = at->second;
    size_queues(in, g);
    const auto entry = entry_for(in, number, s);
    if (admission::enqueue(queue_of(g, p), queue_limits(), entry, in.now))
        return fail_statement(in, number, failure_code::busy,
                              "the queue is too long for the objective");
    p.queued = true;
    dispatch(in, g);
}

void queue_again(context& in, session_number number, const failure& why)
{
    end_running(in, number, false);
    auto& s = in.pooler.sessions.at(number);
    auto& p = *s.current;
    p.sent.reset();
    p.connection = 0;
    if (s.gone)
        return fail_statement(in, number, failure_code::busy, "caller left");
    if (p.attempts >= in.pooler.settings.most_attempts || in.now >= p.deadline)
        return fail_statement(in, number, failure_code::busy,
                              "given up after " +
                                  std::string(to_string(why.code)) + ": " +
                                  why.text);
    admission::enqueue_first(
        queue_of(in.pooler.groups.at(s.active_route.group), p),
        entry_for(in, number, s));
    p.queued = true;
}

void end_running(context& in, session_number number, bool measured)
{
    auto& s = in.pooler.sessions.at(number);
    auto& p = *s.current;
    const auto g = in.pooler.groups.find(s.active_route.group);
    if (g == in.pooler.groups.end())
        return;
    const auto c = in.pooler.connections.find(p.connection);
    if (c != in.pooler.connections.end() &&
        c->second.phase == connection_phase::busy)
    {
        const auto m = g->second.members.find(c->second.server);
        if (m != g->second.members.end() && m->second.running > 0)
            --m->second.running;
        c->second.phase = connection_phase::held;
    }
    if (!p.holds_slot)
        return;
    p.holds_slot = false;
    std::optional<core::duration> held;
    if (measured && c != in.pooler.connections.end() &&
        c->second.phase_since >= in.pooler.stalled_at)
        held = in.now - c->second.phase_since;
    admission::release_slot(queue_of(g->second, p), s.active_route.importance,
                            held);
}

void dispatch(context& in, group& g)
{
    if (admission::waiting_count(g.primary_queue) +
            admission::waiting_count(g.read_queue) ==
        0)
        return;
    size_queues(in, g);
    dispatch_queue(in, g, g.primary_queue);
    dispatch_queue(in, g, g.read_queue);
}

void send_on_held(context& in, session_number number)
{
    auto& s = in.pooler.sessions.at(number);
    auto& p = *s.current;
    auto& c = in.pooler.connections.at(s.tx.connection);
    c.phase = connection_phase::busy;
    c.phase_since = in.now;
    c.sent = in.now;
    const auto g = in.pooler.groups.find(c.group);
    if (g != in.pooler.groups.end())
        if (const auto m = g->second.members.find(c.server);
            m != g->second.members.end())
            ++m->second.running;
    p.connection = s.tx.connection;
    p.sent = in.now;
    p.send_again = false;
    note_write(s);
    std::vector<query> out;
    for (auto& it : setup_statements(c, s))
        append(c, out, std::move(it), purpose::setup);
    append(c, out, for_member(s), purpose::caller);
    in.out.push_back(send_to_member{s.tx.connection, std::move(out)});
}

void send_after_begin(context& in, connection_number number)
{
    auto& c = in.pooler.connections.at(number);
    auto& s = in.pooler.sessions.at(c.user);
    auto& p = *s.current;
    std::vector<query> out;
    p.sent = in.now;
    c.sent = in.now;
    const bool alone = s.tx.phase == transaction_phase::none;
    if (!alone)
    {
        s.tx.phase = transaction_phase::open;
        s.tx.connection = number;
        note_write(s);
    }
    append(c, out, for_member(s), purpose::caller);
    if (alone)
        append(c, out, {{}, {verb::rollback, {}, false, {}}, std::nullopt},
               purpose::cleanup);
    in.out.push_back(send_to_member{number, std::move(out)});
}

}  // namespace godwitbarrow::pooler::detail
