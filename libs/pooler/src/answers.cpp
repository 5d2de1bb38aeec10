#include "answers.hpp"

#include <algorithm>
#include <utility>

#include "connections.hpp"
#include "freshness.hpp"
#include "observations.hpp"
#include "placement.hpp"
#include "primary_evidence.hpp"
#include "sending.hpp"
#include "setup.hpp"

namespace godwitbarrow::pooler::detail
{
namespace
{

constexpr std::chrono::milliseconds too_many_connections_back_off{300};

/// Whether the code means that the member did not run the statement.
bool is_refusal(failure_code it)
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

/// Counts the outcome of a statement that was sent to the member.
void record_outcome(context& ctx, const backend_connection& c,
                    const pending_statement& p, bool failed)
{
    auto* m = find_member(ctx, c);
    if (!m)
        return;
    const auto& settings = ctx.pooler.settings.load;
    if (failed)
        return routing::record_failure(m->load, settings, ctx.now);
    // The time of a statement that a stall of this host overlaps is not that of
    // the member.
    if (p.sent && *p.sent >= ctx.pooler.stalled_at)
        routing::record_success(m->load, settings, ctx.now - *p.sent, ctx.now);
}

void handle_begin_answer(context& ctx, connection_number number,
                         const answer& a, bool read_write)
{
    auto& c = ctx.pooler.connections.at(number);
    const auto user = c.user;
    auto& s = ctx.pooler.sessions.at(user);
    if (const auto* f = failure_of(a))
    {
        record_refusal(ctx, c, *f);
        if (f->code == failure_code::lagging)
            s.current->excluded.insert(c.server);
        requeue_statement(ctx, user, *f);
        return finish_connection(ctx, number, a.state);
    }
    const bool confirmed = !read_write || is_confirmed(ctx, c);
    const bool revoked =
        !confirmed || (read_write && is_on_revoked_primary(ctx, c));
    if (read_write && confirmed)
        record_primary_proof(ctx, c, a.at);
    if (!s.disconnected && !c.setup_failure && !revoked)
        return send_after_begin(ctx, number);
    requeue_statement(
        ctx, user,
        {failure_code::busy, revoked ? "the primary is being replaced"
                                     : "the connection is unusable"});
    finish_connection(ctx, number, session_state::in_transaction);
}

/// Whether the commit that the member acknowledged may follow the promotion of
/// its successor.
bool may_be_lost(const context& ctx, const backend_connection& c)
{
    if (!is_confirmed(ctx, c))
        return true;
    const auto g = ctx.pooler.groups.find(c.group);
    if (g == ctx.pooler.groups.end())
        return false;
    const auto& settings = ctx.pooler.settings;
    const auto since = revoked_since(g->second, c.server, settings, ctx.now);
    return since && ctx.now - *since >= settings.revoked_commit_limit;
}

/// Answers a commit that was acknowledged but may be lost.
void fail_committed(context& ctx, connection_number number)
{
    const auto user = ctx.pooler.connections.at(number).user;
    auto& s = ctx.pooler.sessions.at(user);
    release_slots(ctx, user, true);
    s.tx = {};
    finish_connection(ctx, number, session_state::idle);
    fail_statement(ctx, user, failure_code::in_doubt,
                   "committed on a primary that may have been replaced");
}

void handle_success(context& ctx, connection_number number, answer a)
{
    auto& c = ctx.pooler.connections.at(number);
    const auto user = c.user;
    auto& s = ctx.pooler.sessions.at(user);
    const auto& what = s.current->request.stmt;
    const bool in_transaction = s.tx.phase != transaction_phase::none;
    const bool commits = what.kind == verb::commit;
    const bool wrote =
        commits ? s.tx.wrote : !in_transaction && writes_data(s, what);
    if (wrote && may_be_lost(ctx, c))
        return fail_committed(ctx, number);
    if (wrote)
    {
        record_primary_proof(ctx, c, a.at);
        if (a.at)
        {
            auto& own = s.written[c.group];
            own = std::max(own, *a.at);
        }
    }
    record_outcome(ctx, c, *s.current, false);
    if (auto* m = find_member(ctx, c))
        m->last_lag_back_off = {};
    release_slots(ctx, user, true);
    if (commits)
        s.tx = {};
    if (commits || !in_transaction)
        finish_connection(ctx, number, commits ? a.state : session_state::idle);
    a.state = state_of(s);
    a.at.reset();
    finish_statement(ctx, user, std::move(a));
}

void handle_transaction_failure(context& ctx, connection_number number,
                                const answer& a, const failure& why)
{
    auto& c = ctx.pooler.connections.at(number);
    const auto user = c.user;
    auto& s = ctx.pooler.sessions.at(user);
    auto& p = *s.current;
    record_refusal(ctx, c, why);
    release_slots(ctx, user, false);
    const bool open = a.state == session_state::in_transaction;
    if (why.code == failure_code::busy && open && !s.disconnected &&
        ctx.now < p.deadline)
    {
        p.retry_on_held = true;
        return;
    }
    const bool commits = p.request.stmt.kind == verb::commit;
    const bool may_have_run = commits && s.tx.wrote && !is_refusal(why.code);
    fail_statement(
        ctx, user,
        may_have_run ? failure_code::in_doubt : failure_code::aborted,
        why.text);
}

void handle_autocommit_failure(context& ctx, connection_number number,
                               const failure& why)
{
    auto& c = ctx.pooler.connections.at(number);
    const auto user = c.user;
    auto& s = ctx.pooler.sessions.at(user);
    auto& p = *s.current;
    const bool writes = writes_data(s, p.request.stmt);
    record_refusal(ctx, c, why);
    if (why.code == failure_code::lagging)
        p.excluded.insert(c.server);
    if (why.code == failure_code::unknown_statement)
        forget_prepared(c, s);
    const bool retry = !writes && p.attempts < 2;
    if (is_refusal(why.code) || retry)
    {
        if (!is_refusal(why.code))
            p.excluded.insert(c.server);
        requeue_statement(ctx, user, why);
    }
    else
    {
        release_slots(ctx, user, true);
        fail_statement(ctx, user, why.code, why.text);
    }
    finish_connection(ctx, number, session_state::idle);
}

void handle_statement_answer(context& ctx, connection_number number, answer a)
{
    auto& c = ctx.pooler.connections.at(number);
    auto& s = ctx.pooler.sessions.at(c.user);
    const auto* f = failure_of(a);
    if (!f && std::get<success>(a.result).signature.empty())
        a.result = failure{failure_code::failed,
                           "the answer of the member has no signature"};
    f = failure_of(a);
    if (!f)
        return handle_success(ctx, number, std::move(a));
    if (!is_refusal(f->code))
        record_outcome(ctx, c, *s.current, true);
    const auto why = *f;
    if (s.tx.phase != transaction_phase::none)
        return handle_transaction_failure(ctx, number, a, why);
    handle_autocommit_failure(ctx, number, why);
}

void handle_cleanup_answer(context& ctx, connection_number number,
                           const answer& a)
{
    auto& c = ctx.pooler.connections.at(number);
    if (failure_of(a) || a.state != session_state::idle)
        return drop_connection(ctx, number);
    if (c.phase == connection_phase::cleaning && c.outstanding.empty())
        release_connection(ctx, number);
}

/// Fails or requeues a statement whose connection was lost.
void fail_or_requeue(context& ctx, session_number number, bool timed_out,
                     const std::string& reason)
{
    auto& s = ctx.pooler.sessions.at(number);
    auto& p = *s.current;
    const bool sent = p.sent.has_value();
    const bool commits =
        sent && s.tx.wrote && p.request.stmt.kind == verb::commit;
    if (s.tx.phase == transaction_phase::open)
        return fail_statement(
            ctx, number,
            commits ? failure_code::in_doubt : failure_code::aborted, reason);
    if (!sent)
        return requeue_statement(ctx, number, {failure_code::busy, reason});
    if (writes_data(s, p.request.stmt))
        return fail_statement(ctx, number, failure_code::in_doubt, reason);
    if (timed_out)
        return fail_statement(ctx, number, failure_code::timed_out, reason);
    requeue_statement(ctx, number, {failure_code::busy, reason});
}

/// Updates the session that used a lost connection, if there is one.
void notify_session(context& ctx, session_number user, connection_number number,
                    bool timed_out, const std::string& reason)
{
    const auto it = ctx.pooler.sessions.find(user);
    if (user == 0 || it == ctx.pooler.sessions.end())
        return;
    auto& s = it->second;
    if (s.current && s.current->connection == number &&
        !s.current->retry_on_held)
        return fail_or_requeue(ctx, user, timed_out, reason);
    if (s.tx.phase != transaction_phase::open || s.tx.connection != number)
        return;
    s.tx.phase = transaction_phase::failed;
    s.tx.unreported_reason = reason;
    if (s.current)
        fail_statement(ctx, user, failure_code::aborted, reason);
}

void handle_lost_connection(context& ctx, connection_number number,
                            bool timed_out, const std::string& reason)
{
    auto& c = ctx.pooler.connections.at(number);
    const auto user = c.user;
    const auto group = c.group;
    const auto server = c.server;
    auto* m = find_member(ctx, c);
    // A connection reset does not predict the failure of the next connection.
    if (m && timed_out)
    {
        m->failed_at = ctx.now;
        routing::record_failure(m->load, ctx.pooler.settings.load, ctx.now);
    }
    if (user != 0 && c.phase == connection_phase::busy)
    {
        auto& s = ctx.pooler.sessions.at(user);
        s.current->excluded.insert(server);
        release_slots(ctx, user, false);
    }
    remove_connection(ctx, number);
    notify_session(ctx, user, number, timed_out, reason);
    if (const auto g = ctx.pooler.groups.find(group);
        g != ctx.pooler.groups.end())
        dispatch(ctx, g->second);
}

void record_failed_open(context& ctx, member& m,
                        const member_connection_lost& what)
{
    const auto& settings = ctx.pooler.settings;
    ++m.failed_opens;
    m.failed_at = ctx.now;
    const auto doubled =
        settings.open_back_off * (1U << std::min(m.failed_opens - 1, 3U));
    auto back_off = std::min(doubled, settings.max_open_back_off);
    if (what.refusal &&
        what.refusal->code == failure_code::too_many_connections)
    {
        m.failed_at.reset();
        back_off = too_many_connections_back_off;
    }
    m.reopen_after = ctx.now + back_off;
    if (m.failed_opens > 1)
        return;
    decision_note n;
    n.message = "cannot connect to member";
    n.group = m.record.group;
    n.server = m.record.server;
    n.detail =
        what.refusal ? std::string(to_string(what.refusal->code)) : what.reason;
    ctx.out.push_back(std::move(n));
}

}  // namespace

void handle_connected(context& ctx, const member_connected& what)
{
    const auto it = ctx.pooler.connections.find(what.connection);
    if (it == ctx.pooler.connections.end())
        return;
    if (auto* m = find_member(ctx, it->second))
    {
        m->failed_opens = 0;
        m->reopen_after.reset();
        m->failed_at.reset();
        const auto took = ctx.now - it->second.phase_since;
        m->fastest_open = std::min(m->fastest_open.value_or(took), took);
        m->answered_at = ctx.now;
        record_exchange(*m, it->second.phase_since, what.at);
    }
    const auto group = it->second.group;
    release_connection(ctx, what.connection);
    if (const auto g = ctx.pooler.groups.find(group);
        g != ctx.pooler.groups.end())
        dispatch(ctx, g->second);
}

void handle_answer(context& ctx, const member_answered& what)
{
    const auto it = ctx.pooler.connections.find(what.connection);
    if (it == ctx.pooler.connections.end())
        return;
    auto& c = it->second;
    if (c.outstanding.empty())
        return handle_lost_connection(
            ctx, what.connection, false,
            "the member sent an answer without an outstanding statement");
    const auto group = c.group;
    const auto why = c.outstanding.front();
    c.outstanding.pop_front();
    if (auto* m = find_member(ctx, c))
    {
        m->answered_at = ctx.now;
        record_exchange(*m, c.sent, what.reply.at);
    }
    switch (why)
    {
        case purpose::set_values:
        case purpose::prepare:
            handle_setup_answer(ctx, what.connection, what.reply, why);
            break;
        case purpose::begin_read_write:
        case purpose::begin_read:
            handle_begin_answer(ctx, what.connection, what.reply,
                                why == purpose::begin_read_write);
            break;
        case purpose::caller:
            handle_statement_answer(ctx, what.connection, what.reply);
            break;
        case purpose::cleanup:
            handle_cleanup_answer(ctx, what.connection, what.reply);
            break;
    }
    if (const auto g = ctx.pooler.groups.find(group);
        g != ctx.pooler.groups.end())
        dispatch(ctx, g->second);
}

void handle_connection_lost(context& ctx, const member_connection_lost& what)
{
    const auto it = ctx.pooler.connections.find(what.connection);
    if (it == ctx.pooler.connections.end())
        return;
    if (it->second.phase == connection_phase::opening)
        if (auto* m = find_member(ctx, it->second))
            record_failed_open(ctx, *m, what);
    handle_lost_connection(ctx, what.connection, false, what.reason);
}

void handle_timeout(context& ctx, session_number number)
{
    const auto connection = ctx.pooler.sessions.at(number).current->connection;
    ctx.out.push_back(close_connection{connection});
    handle_lost_connection(ctx, connection, true,
                           "the member did not answer in time");
}

}  // namespace godwitbarrow::pooler::detail
