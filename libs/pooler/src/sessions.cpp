#include "sessions.hpp"

#include <utility>

#include "access.hpp"
#include "connections.hpp"
#include "placement.hpp"
#include "primary_evidence.hpp"
#include "quotas.hpp"
#include "sending.hpp"
#include "session_values.hpp"
#include "shutdown.hpp"

namespace godwitbarrow::pooler::detail
{
namespace
{

failure malformed(std::string why)
{
    return {failure_code::malformed, std::move(why)};
}

statement_result begin(context& ctx, caller_session& s, const statement& what)
{
    if (s.tx.phase != transaction_phase::none)
        return malformed("a transaction is already open");
    s.tx = {};
    s.tx.phase = transaction_phase::deferred;
    s.tx.read_only = what.kind == verb::begin_read;
    s.tx.began = ctx.now;
    return success{};
}

void end_transaction(context& ctx, caller_session& s)
{
    const auto held = std::exchange(s.tx, {});
    if (held.phase == transaction_phase::open &&
        ctx.pooler.connections.count(held.connection) > 0)
        roll_back(ctx, held.connection);
}

/// Answers a statement in a transaction that has failed.
void answer_in_failed_transaction(context& ctx, session_number number,
                                  caller_session& s)
{
    const auto kind = s.current->request.stmt.kind;
    const auto reason = std::exchange(s.tx.unreported_reason, {});
    if (kind == verb::rollback || kind == verb::commit)
        s.tx = {};
    if (kind == verb::rollback)
        return answer_locally(ctx, number, success{});
    if (kind == verb::commit || !reason.empty())
        return answer_locally(
            ctx, number,
            failure{failure_code::aborted,
                    reason.empty() ? "the transaction has already failed"
                                   : reason});
    answer_locally(ctx, number,
                   malformed("the transaction has failed; roll it back"));
}

void forward(context& ctx, session_number number, caller_session& s)
{
    auto& p = *s.current;
    const auto& what = p.request.stmt;
    const bool in_transaction = s.tx.phase != transaction_phase::none;
    if (what.kind == verb::execute && s.prepared.count(what.name) == 0)
        return fail_statement(ctx, number, failure_code::unknown_statement,
                              what.name);
    const bool writes = writes_data(s, what);
    if (writes && in_transaction && s.tx.read_only)
        return fail_statement(ctx, number, failure_code::read_only,
                              "write in a read-only transaction");
    if (s.tx.phase == transaction_phase::open &&
        writes_on_revoked_primary(ctx, s))
        return fail_statement(ctx, number, failure_code::aborted,
                              "the primary is being replaced");
    if (s.tx.phase == transaction_phase::open && awaits_evidence(ctx, s))
    {
        p.retry_on_held = true;
        return refresh_evidence(ctx, s);
    }
    if (s.tx.phase == transaction_phase::open)
        return send_on_held(ctx, number);
    p.primary_only = writes || s.active_route.reads == read_policy::newest ||
                     (in_transaction && !s.tx.read_only);
    start_operation(ctx, number);
}

void run_statement(context& ctx, session_number number, caller_session& s)
{
    const auto& what = s.current->request.stmt;
    if (s.tx.phase == transaction_phase::failed)
        return answer_in_failed_transaction(ctx, number, s);
    switch (what.kind)
    {
        case verb::set:
            return answer_locally(ctx, number, set_value(ctx.pooler, s, what));
        case verb::prepare:
            return answer_locally(ctx, number, prepare(ctx.pooler, s, what));
        case verb::deallocate:
            return answer_locally(ctx, number, deallocate(s, what));
        case verb::begin:
        case verb::begin_read:
            return answer_locally(ctx, number, begin(ctx, s, what));
        case verb::rollback:
            end_transaction(ctx, s);
            return answer_locally(ctx, number, success{});
        case verb::commit:
            if (s.tx.phase == transaction_phase::none)
                return answer_locally(ctx, number,
                                      malformed("no transaction is open"));
            return forward(ctx, number, s);
        case verb::read:
        case verb::write:
        case verb::execute:
            return forward(ctx, number, s);
        default:
            return answer_locally(
                ctx, number,
                malformed("unknown statement, or a line break inside it"));
    }
}

bool is_configured(const state& all)
{
    return all.active_configuration.version > 0;
}

bool needs_route(verb it)
{
    return it != verb::set && it != verb::prepare && it != verb::deallocate;
}

/// Refuses the statement of a session whose key is not valid any more. The
/// transaction is rolled back first; the session ends with the statement after
/// it.
void refuse_withdrawn(context& ctx, session_number number)
{
    constexpr auto reason = "the key of the caller was withdrawn";
    if (ctx.pooler.sessions.at(number).tx.phase != transaction_phase::none)
        return fail_statement(ctx, number, failure_code::aborted, reason);
    fail_statement(ctx, number, failure_code::not_admitted, reason);
    if (ctx.pooler.sessions.count(number) > 0)
        close_session(ctx, number);
}

/// Refuses the statement because of a shutdown. A caller outside a transaction
/// is disconnected, so that it reconnects through another host: at once if it
/// asked for a transaction or the process exits soon, else once it pauses, so
/// that a statement which it has sent behind this one is answered too.
void refuse_late(context& ctx, session_number number)
{
    constexpr auto reason = "this host is shutting down";
    const auto& s = ctx.pooler.sessions.at(number);
    if (s.tx.phase != transaction_phase::none)
        return fail_statement(ctx, number, failure_code::aborted, reason);
    const bool at_once =
        is_closing(ctx, s) || begins_transaction(s.current->request.stmt);
    answer_locally(ctx, number, failure{failure_code::busy, reason});
    if (at_once && ctx.pooler.sessions.count(number) > 0)
        close_session(ctx, number);
}

void begin_statement(context& ctx, session_number number, query what)
{
    auto& s = ctx.pooler.sessions.at(number);
    s.current.emplace();
    s.current->request = std::move(what);
    s.current->arrived = ctx.now;
    const bool configured = is_configured(ctx.pooler);
    const bool routed = configured && update_route(ctx.pooler, s);
    if (comes_too_late(ctx, s, s.current->request.stmt))
        return refuse_late(ctx, number);
    if (!configured && needs_route(s.current->request.stmt.kind))
        return answer_locally(
            ctx, number,
            failure{failure_code::busy, "this host has no configuration yet"});
    if (configured && !routed)
        return answer_locally(
            ctx, number, failure{failure_code::unknown_database, s.database});
    if (configured && !update_workspace(ctx.pooler, s))
        return refuse_withdrawn(ctx, number);
    s.current->deadline = ctx.now + s.active_route.statement_timeout;
    limit_to_shutdown(ctx, s);
    ctx.pooler.active_sessions.insert(number);
    run_statement(ctx, number, s);
}

void next_statement(context& ctx, session_number number)
{
    auto& s = ctx.pooler.sessions.at(number);
    if (s.current || s.backlog.empty())
        return;
    auto what = std::move(s.backlog.front());
    s.backlog.pop_front();
    begin_statement(ctx, number, std::move(what));
}

void erase_session(context& ctx, session_number number)
{
    const auto it = ctx.pooler.sessions.find(number);
    end_transaction(ctx, it->second);
    ctx.pooler.active_sessions.erase(number);
    ctx.pooler.draining_sessions.erase(number);
    ctx.pooler.sessions.erase(it);
}

void report_ended(context& ctx, const caller_session& s, const answer& what)
{
    const auto& p = *s.current;
    const auto* f = failure_of(what);
    statement_ended m;
    m.importance = s.active_route.importance;
    m.succeeded = f == nullptr;
    if (f)
        m.reason = to_string(f->code);
    m.took = ctx.now - p.arrived;
    m.waited = (p.sent ? *p.sent : ctx.now) - p.arrived;
    ctx.out.push_back(std::move(m));
}

/// Builds the log entry for a failure, with the inputs of the decision.
decision_note make_failure_log(const context& ctx, const caller_session& s,
                               failure_code code, const std::string& reason)
{
    const auto& p = *s.current;
    decision_note note;
    note.about_request = true;
    note.message = to_string(code);
    note.request = p.request.id;
    note.group = s.active_route.group;
    note.detail = reason;
    note.attempts = p.attempts;
    note.held = std::chrono::duration_cast<std::chrono::milliseconds>(
        ctx.now - p.arrived);
    const auto g = ctx.pooler.groups.find(s.active_route.group);
    if (g == ctx.pooler.groups.end())
        return note;
    note.server = g->second.primary.value_or(core::server_id{});
    const auto& samples = g->second.history.samples;
    if (!samples.empty())
        note.position_age =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                ctx.now - samples.back().sent);
    return note;
}

void refuse_start(context& ctx, session_number number, failure_code code,
                  std::string reason)
{
    ctx.out.push_back(refuse_caller{number, {code, std::move(reason)}});
}

}  // namespace

session_state state_of(const caller_session& it)
{
    switch (it.tx.phase)
    {
        case transaction_phase::none:
            return session_state::idle;
        case transaction_phase::failed:
            return it.tx.unreported_reason.empty()
                       ? session_state::failed_transaction
                       : session_state::in_transaction;
        default:
            return session_state::in_transaction;
    }
}

void finish_statement(context& ctx, session_number number, answer what)
{
    auto& s = ctx.pooler.sessions.at(number);
    report_ended(ctx, s, what);
    ctx.pooler.active_sessions.erase(number);
    s.current.reset();
    s.idle_since = ctx.now;
    if (s.disconnected)
        return erase_session(ctx, number);
    ctx.out.push_back(reply_to_caller{number, std::move(what), s.stored_bytes});
    next_statement(ctx, number);
}

void fail_statement(context& ctx, session_number number, failure_code code,
                    std::string reason)
{
    auto& s = ctx.pooler.sessions.at(number);
    const bool ends = s.current->request.stmt.kind == verb::commit;
    if (s.tx.phase != transaction_phase::none)
    {
        end_transaction(ctx, s);
        s.tx.phase = ends ? transaction_phase::none : transaction_phase::failed;
    }
    ctx.out.push_back(make_failure_log(ctx, s, code, reason));
    finish_statement(ctx, number,
                     {{}, failure{code, std::move(reason)}, state_of(s), {}});
}

void fail_queued(context& ctx, session_number number, std::string reason)
{
    auto& s = ctx.pooler.sessions.at(number);
    auto& g = ctx.pooler.groups.at(s.active_route.group);
    admission::remove(queue_of(g, *s.current), {std::to_string(number)});
    s.current->queued = false;
    fail_statement(ctx, number, failure_code::busy, std::move(reason));
}

void answer_locally(context& ctx, session_number number, statement_result what)
{
    const auto& s = ctx.pooler.sessions.at(number);
    finish_statement(ctx, number, {{}, std::move(what), state_of(s), {}});
}

void start_session(context& ctx, const caller_started& what)
{
    caller_session s;
    s.database = what.database;
    s.relayed = what.relayed;
    s.key = what.key;
    s.idle_since = ctx.now;
    // Before the first configuration arrives, no database and no key is known,
    // so the session is accepted. Its first statement is checked.
    const bool configured = is_configured(ctx.pooler);
    if (configured && !update_route(ctx.pooler, s))
        return refuse_start(ctx, what.session, failure_code::unknown_database,
                            what.database);
    if (configured && !update_workspace(ctx.pooler, s))
        return refuse_start(ctx, what.session, failure_code::not_admitted,
                            "the key is not valid; ask the operator for one");
    ctx.pooler.sessions.emplace(what.session, std::move(s));
    ctx.out.push_back(accept_caller{what.session});
}

void enqueue_query(context& ctx, const caller_query& what)
{
    const auto it = ctx.pooler.sessions.find(what.session);
    if (it == ctx.pooler.sessions.end())
        return;
    if (it->second.backlog.size() >= ctx.pooler.settings.max_backlog)
        return close_session(ctx, what.session);
    it->second.backlog.push_back(what.request);
    next_statement(ctx, what.session);
}

void end_session(context& ctx, session_number number)
{
    const auto it = ctx.pooler.sessions.find(number);
    if (it == ctx.pooler.sessions.end())
        return;
    auto& s = it->second;
    s.disconnected = true;
    s.backlog.clear();
    if (!s.current)
        return erase_session(ctx, number);
    if (s.current->awaits_quota)
    {
        stop_waiting_for_quota(ctx, number);
        return fail_statement(ctx, number, failure_code::busy,
                              "caller disconnected");
    }
    if (s.current->queued)
        return fail_queued(ctx, number, "caller disconnected");
    // It is not sent again. Callers that come and go must not leave large texts
    // behind until members answer; an assignment would keep the capacity.
    std::string().swap(s.current->request.stmt.text);
    // A statement that is already running on a member is left to complete.
    if (s.current->retry_on_held)
        fail_statement(ctx, number, failure_code::aborted,
                       "caller disconnected");
}

void close_session(context& ctx, session_number number)
{
    end_session(ctx, number);
    ctx.out.push_back(close_caller{number});
}

}  // namespace godwitbarrow::pooler::detail
