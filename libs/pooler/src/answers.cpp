#include "answers.hpp"

#include <algorithm>

#include "connections.hpp"
#include "freshness.hpp"
#include "placement.hpp"

namespace godwitbarrow::pooler::detail
{
namespace
{

constexpr std::chrono::milliseconds too_many_back_off{300};

/// The member says that it did not run the statement.
bool refused(failure_code it)
{
    switch (it)
    {
        case failure_code::busy:
        case failure_code::lagging:
        case failure_code::read_only:
        case failure_code::unknown_statement:
        case failure_code::misrouted:
        case failure_code::too_many_connections:
            return true;
        default:
            return false;
    }
}

member* find_member(context& in, const backend_connection& c)
{
    const auto g = in.pooler.groups.find(c.group);
    if (g == in.pooler.groups.end())
        return nullptr;
    const auto m = g->second.members.find(c.server);
    return m == g->second.members.end() ? nullptr : &m->second;
}

void note_belief(context& in, const backend_connection& c, std::string what,
                 std::string detail)
{
    decision_note n;
    n.message = std::move(what);
    n.group = c.group;
    n.server = c.server;
    n.detail = std::move(detail);
    in.out.push_back(std::move(n));
}

/// Passes over a replica for longer each time it lags again.
void note_lagging(context& in, member& m)
{
    const auto& settings = in.pooler.settings;
    m.lag_pause =
        m.lag_pause.count() == 0
            ? settings.lag_back_off
            : std::min(m.lag_pause * 2, settings.longest_lag_back_off);
    m.lagging_until = in.now + m.lag_pause;
}

/// Records what a refusal says about the member.
void learn_from_refusal(context& in, backend_connection& c, const failure& why)
{
    auto* m = find_member(in, c);
    if (!m)
        return;
    if (why.code == failure_code::lagging)
        note_lagging(in, *m);
    if (why.code == failure_code::busy)
        m->busy_until = in.now + in.pooler.settings.busy_back_off;
    if (why.code != failure_code::read_only)
        return;
    auto& g = in.pooler.groups.at(c.group);
    if (g.primary == c.server)
        note_belief(in, c, "member is not the primary", "refused a write");
    refute_primary(g, *m, in.now);
}

/// Records that the member proved to be the primary.
void learn_primary(context& in, const backend_connection& c,
                   const std::optional<core::log_position>& at)
{
    const auto g = in.pooler.groups.find(c.group);
    if (g == in.pooler.groups.end())
        return;
    if (g->second.primary != c.server)
        note_belief(in, c, "member is the primary", "accepted a transaction");
    note_primary(g->second, c.server, c.sent, at);
}

void finish_connection(context& in, connection_number number,
                       session_state left)
{
    if (in.pooler.connections.count(number) == 0)
        return;
    if (left == session_state::idle)
        release_connection(in, number);
    else
        roll_back(in, number);
}

void begin_answered(context& in, connection_number number, const answer& a,
                    bool plain)
{
    auto& c = in.pooler.connections.at(number);
    const auto user = c.user;
    auto& s = in.pooler.sessions.at(user);
    if (const auto* f = failure_of(a))
    {
        learn_from_refusal(in, c, *f);
        if (f->code == failure_code::lagging)
            s.current->excluded.insert(c.server);
        queue_again(in, user, *f);
        return finish_connection(in, number, a.state);
    }
    if (plain)
        learn_primary(in, c, a.at);
    if (!s.gone && !c.spoiled)
        return send_after_begin(in, number);
    queue_again(in, user, {failure_code::busy, "the connection is unusable"});
    finish_connection(in, number, session_state::in_transaction);
}

void succeed(context& in, connection_number number, answer a)
{
    auto& c = in.pooler.connections.at(number);
    const auto user = c.user;
    auto& s = in.pooler.sessions.at(user);
    const auto& what = s.current->request.stmt;
    const bool in_transaction = s.tx.phase != transaction_phase::none;
    const bool commits = what.kind == verb::commit;
    const bool wrote =
        commits ? s.tx.wrote : !in_transaction && writes_data(s, what);
    if (wrote)
    {
        learn_primary(in, c, a.at);
        if (a.at)
        {
            auto& own = s.written[c.group];
            own = std::max(own, *a.at);
        }
    }
    if (auto* m = find_member(in, c))
        m->lag_pause = {};
    end_running(in, user, true);
    if (commits)
        s.tx = {};
    if (commits || !in_transaction)
        finish_connection(in, number, commits ? a.state : session_state::idle);
    a.state = state_of(s);
    a.at.reset();
    finish_statement(in, user, std::move(a));
}

void fail_in_transaction(context& in, connection_number number, const answer& a,
                         const failure& why)
{
    auto& c = in.pooler.connections.at(number);
    const auto user = c.user;
    auto& s = in.pooler.sessions.at(user);
    auto& p = *s.current;
    learn_from_refusal(in, c, why);
    end_running(in, user, false);
    const bool open = a.state == session_state::in_transaction;
    if (why.code == failure_code::busy && open && !s.gone &&
        in.now < p.deadline)
    {
        p.send_again = true;
        return;
    }
    const bool commits = p.request.stmt.kind == verb::commit;
    const bool ran = commits && s.tx.wrote && !refused(why.code);
    fail_statement(in, user,
                   ran ? failure_code::in_doubt : failure_code::aborted,
                   why.text);
}

void fail_alone(context& in, connection_number number, const failure& why)
{
    auto& c = in.pooler.connections.at(number);
    const auto user = c.user;
    auto& s = in.pooler.sessions.at(user);
    auto& p = *s.current;
    const bool writes = writes_data(s, p.request.stmt);
    learn_from_refusal(in, c, why);
    if (why.code == failure_code::lagging)
        p.excluded.insert(c.server);
    if (why.code == failure_code::unknown_statement)
        c.prepared.erase(s.prepared.at(p.request.stmt.name).member_name);
    const bool again = !writes && p.attempts < 2;
    if (refused(why.code) || again)
    {
        if (!refused(why.code))
            p.excluded.insert(c.server);
        queue_again(in, user, why);
    }
    else
    {
        end_running(in, user, true);
        fail_statement(in, user, why.code, why.text);
    }
    finish_connection(in, number, session_state::idle);
}

void statement_answered(context& in, connection_number number, answer a)
{
    auto& c = in.pooler.connections.at(number);
    auto& s = in.pooler.sessions.at(c.user);
    const auto* f = failure_of(a);
    if (!f && std::get<success>(a.result).signature.empty())
        a.result = failure{failure_code::failed, "the answer has no signature"};
    f = failure_of(a);
    if (!f)
        return succeed(in, number, std::move(a));
    const auto why = *f;
    if (s.tx.phase != transaction_phase::none)
        return fail_in_transaction(in, number, a, why);
    fail_alone(in, number, why);
}

void cleanup_answered(context& in, connection_number number, const answer& a)
{
    auto& c = in.pooler.connections.at(number);
    if (failure_of(a) || a.state != session_state::idle)
        return drop_connection(in, number);
    if (c.phase == connection_phase::cleaning && c.outstanding.empty())
        release_connection(in, number);
}

/// Ends the statement whose connection is gone.
void lose_statement(context& in, session_number number, bool timed_out,
                    const std::string& reason)
{
    auto& s = in.pooler.sessions.at(number);
    auto& p = *s.current;
    const bool sent = p.sent.has_value();
    const bool commits = p.request.stmt.kind == verb::commit;
    if (!sent)
        return queue_again(in, number, {failure_code::busy, reason});
    if (s.tx.phase == transaction_phase::open)
        return fail_statement(in, number,
                              commits && s.tx.wrote ? failure_code::in_doubt
                                                    : failure_code::aborted,
                              reason);
    if (writes_data(s, p.request.stmt))
        return fail_statement(in, number, failure_code::in_doubt, reason);
    if (timed_out)
        return fail_statement(in, number, failure_code::timed_out, reason);
    queue_again(in, number, {failure_code::busy, reason});
}

/// Tells the session of a lost connection, if it used one.
void tell_user(context& in, session_number user, connection_number number,
               bool timed_out, const std::string& reason)
{
    const auto it = in.pooler.sessions.find(user);
    if (user == 0 || it == in.pooler.sessions.end())
        return;
    auto& s = it->second;
    if (s.current && s.current->connection == number && !s.current->send_again)
        return lose_statement(in, user, timed_out, reason);
    if (s.tx.phase != transaction_phase::open || s.tx.connection != number)
        return;
    s.tx.phase = transaction_phase::failed;
    s.tx.lost_reason = reason;
    if (s.current)
        fail_statement(in, user, failure_code::aborted, reason);
}

void lose_connection(context& in, connection_number number, bool timed_out,
                     const std::string& reason)
{
    auto& c = in.pooler.connections.at(number);
    const auto user = c.user;
    const auto group = c.group;
    const auto server = c.server;
    auto* m = find_member(in, c);
    // A connection that was reset says nothing about the next one.
    if (m && timed_out)
        m->failed_at = in.now;
    if (user != 0 && c.phase == connection_phase::busy)
    {
        auto& s = in.pooler.sessions.at(user);
        s.current->excluded.insert(server);
        end_running(in, user, false);
    }
    forget_connection(in, number);
    tell_user(in, user, number, timed_out, reason);
    if (const auto g = in.pooler.groups.find(group);
        g != in.pooler.groups.end())
        dispatch(in, g->second);
}

void note_failed_open(context& in, member& m,
                      const member_connection_lost& what)
{
    const auto& settings = in.pooler.settings;
    ++m.failed_opens;
    m.failed_at = in.now;
    const auto doubled =
        settings.open_back_off * (1U << std::min(m.failed_opens - 1, 3U));
    auto pause = std::min(doubled, settings.longest_open_back_off);
    if (what.refusal &&
        what.refusal->code == failure_code::too_many_connections)
    {
        m.failed_at.reset();
        pause = too_many_back_off;
    }
    m.open_after = in.now + pause;
    if (m.failed_opens > 1)
        return;
    decision_note n;
    n.message = "cannot connect to member";
    n.group = m.record.group;
    n.server = m.record.server;
    n.detail =
        what.refusal ? std::string(to_string(what.refusal->code)) : what.reason;
    in.out.push_back(std::move(n));
}

}  // namespace

void take_connected(context& in, const member_connected& what)
{
    const auto it = in.pooler.connections.find(what.connection);
    if (it == in.pooler.connections.end())
        return;
    if (auto* m = find_member(in, it->second))
    {
        m->failed_opens = 0;
        m->open_after.reset();
        m->failed_at.reset();
        m->answered_at = in.now;
    }
    const auto group = it->second.group;
    release_connection(in, what.connection);
    if (const auto g = in.pooler.groups.find(group);
        g != in.pooler.groups.end())
        dispatch(in, g->second);
}

void take_answer(context& in, const member_answered& what)
{
    const auto it = in.pooler.connections.find(what.connection);
    if (it == in.pooler.connections.end())
        return;
    auto& c = it->second;
    if (c.outstanding.empty())
        return lose_connection(in, what.connection, false,
                               "the member sent an answer to nothing");
    const auto group = c.group;
    const auto why = c.outstanding.front();
    c.outstanding.pop_front();
    if (auto* m = find_member(in, c))
        m->answered_at = in.now;
    switch (why)
    {
        case purpose::setup:
            if (const auto* f = failure_of(what.reply))
            {
                c.spoiled = true;
                note_belief(in, c, "connection setup failed", f->text);
            }
            return;
        case purpose::begin_plain:
        case purpose::begin_read:
            begin_answered(in, what.connection, what.reply,
                           why == purpose::begin_plain);
            break;
        case purpose::caller:
            statement_answered(in, what.connection, what.reply);
            break;
        case purpose::cleanup:
            cleanup_answered(in, what.connection, what.reply);
            break;
    }
    if (const auto g = in.pooler.groups.find(group);
        g != in.pooler.groups.end())
        dispatch(in, g->second);
}

void take_lost(context& in, const member_connection_lost& what)
{
    const auto it = in.pooler.connections.find(what.connection);
    if (it == in.pooler.connections.end())
        return;
    if (it->second.phase == connection_phase::opening)
        if (auto* m = find_member(in, it->second))
            note_failed_open(in, *m, what);
    lose_connection(in, what.connection, false, what.reason);
}

void time_out(context& in, session_number number)
{
    const auto connection = in.pooler.sessions.at(number).current->connection;
    in.out.push_back(close_connection{connection});
    lose_connection(in, connection, true, "no answer from the member in time");
}

}  // namespace godwitbarrow::pooler::detail
