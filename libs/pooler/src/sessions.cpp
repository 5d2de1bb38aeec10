#include "sessions.hpp"

#include <utility>

#include "connections.hpp"
#include "placement.hpp"

namespace godwitbarrow::pooler::detail
{
namespace
{

constexpr std::size_t most_values = 64;
constexpr std::size_t most_prepared_of_session = 256;

failure malformed(std::string why)
{
    return {failure_code::malformed, std::move(why)};
}

/// The name of the statement on members, the same for all sessions.
std::string member_name_of(state& all, const statement& what)
{
    const auto key = (what.writes ? "w " : "r ") + what.text;
    const auto it = all.shapes.find(key);
    if (it != all.shapes.end())
        return it->second;
    auto name = "p" + std::to_string(++all.last_shape);
    if (all.shapes.size() >= all.settings.most_shapes)
        return name;
    return all.shapes.emplace(key, std::move(name)).first->second;
}

statement_result set_value(caller_session& s, const statement& what)
{
    if (s.values.size() >= most_values && s.values.count(what.name) == 0)
        return failure{failure_code::too_large,
                       "too many session values; use fewer names"};
    s.values[what.name] = what.text;
    return success{};
}

statement_result prepare(state& all, caller_session& s, const statement& what)
{
    const bool known = s.prepared.count(what.name) > 0;
    if (s.prepared.size() >= most_prepared_of_session && !known)
        return failure{failure_code::too_large,
                       "too many prepared statements; deallocate some"};
    s.prepared[what.name] = {what.text, what.writes, member_name_of(all, what)};
    return success{};
}

statement_result deallocate(caller_session& s, const statement& what)
{
    if (s.prepared.erase(what.name) == 0)
        return failure{failure_code::unknown_statement, what.name};
    return success{};
}

statement_result begin(context& in, caller_session& s, const statement& what)
{
    if (s.tx.phase != transaction_phase::none)
        return malformed("a transaction is open already");
    s.tx = {};
    s.tx.phase = transaction_phase::announced;
    s.tx.read_only = what.kind == verb::begin_read;
    s.tx.began = in.now;
    return success{};
}

void end_transaction(context& in, caller_session& s)
{
    const auto held = std::exchange(s.tx, {});
    if (held.phase == transaction_phase::open &&
        in.pooler.connections.count(held.connection) > 0)
        roll_back(in, held.connection);
}

/// Answers to a statement of a transaction that has failed.
void answer_failed(context& in, session_number number, caller_session& s)
{
    const auto kind = s.current->request.stmt.kind;
    const auto reason = std::exchange(s.tx.lost_reason, {});
    if (kind == verb::rollback || kind == verb::commit)
        s.tx = {};
    if (kind == verb::rollback)
        return answer_locally(in, number, success{});
    if (kind == verb::commit || !reason.empty())
        return answer_locally(
            in, number,
            failure{failure_code::aborted,
                    reason.empty() ? "the transaction had failed" : reason});
    answer_locally(in, number,
                   malformed("the transaction has failed; roll it back"));
}

void forward(context& in, session_number number, caller_session& s)
{
    auto& p = *s.current;
    const auto& what = p.request.stmt;
    const bool in_transaction = s.tx.phase != transaction_phase::none;
    if (what.kind == verb::execute && s.prepared.count(what.name) == 0)
        return fail_statement(in, number, failure_code::unknown_statement,
                              what.name);
    const bool writes = writes_data(s, what);
    if (writes && in_transaction && s.tx.read_only)
        return fail_statement(in, number, failure_code::read_only,
                              "the transaction is for reading only");
    if (s.tx.phase == transaction_phase::open)
        return send_on_held(in, number);
    p.primary_only = writes || s.active_route.reads == read_policy::newest ||
                     (in_transaction && !s.tx.read_only);
    queue_statement(in, number);
}

void run_statement(context& in, session_number number, caller_session& s)
{
    const auto& what = s.current->request.stmt;
    if (s.tx.phase == transaction_phase::failed)
        return answer_failed(in, number, s);
    switch (what.kind)
    {
        case verb::set:
            return answer_locally(in, number, set_value(s, what));
        case verb::prepare:
            return answer_locally(in, number, prepare(in.pooler, s, what));
        case verb::deallocate:
            return answer_locally(in, number, deallocate(s, what));
        case verb::begin:
        case verb::begin_read:
            return answer_locally(in, number, begin(in, s, what));
        case verb::rollback:
            end_transaction(in, s);
            return answer_locally(in, number, success{});
        case verb::commit:
            if (s.tx.phase == transaction_phase::none)
                return answer_locally(in, number,
                                      malformed("no transaction is open"));
            return forward(in, number, s);
        case verb::read:
        case verb::write:
        case verb::execute:
            return forward(in, number, s);
        default:
            return answer_locally(in, number, malformed("unknown statement"));
    }
}

bool is_configured(const state& all)
{
    return all.active_configuration.version > 0;
}

/// Whether a shutdown leaves no time for a new statement.
bool is_closing(const context& in)
{
    return in.pooler.shutdown_since &&
           in.now - *in.pooler.shutdown_since >=
               in.pooler.settings.shutdown_statements;
}

bool needs_route(verb it)
{
    return it != verb::set && it != verb::prepare && it != verb::deallocate;
}

/// Takes over the route that is in force, between transactions only.
bool refresh_route(const state& all, caller_session& s)
{
    if (s.tx.phase != transaction_phase::none)
        return true;
    const auto it = all.active_configuration.routes.find(s.database);
    if (it == all.active_configuration.routes.end())
        return false;
    s.active_route = it->second;
    return true;
}

/// The caller comes back through another host, which serves it.
void refuse_and_close(context& in, session_number number)
{
    answer_locally(in, number,
                   failure{failure_code::busy, "this host is about to stop"});
    if (in.pooler.sessions.count(number) > 0)
        close_session(in, number);
}

void begin_statement(context& in, session_number number, query what)
{
    auto& s = in.pooler.sessions.at(number);
    s.current.emplace();
    s.current->request = std::move(what);
    s.current->arrived = in.now;
    if (is_closing(in) && s.tx.phase == transaction_phase::none)
        return refuse_and_close(in, number);
    if (!is_configured(in.pooler) && needs_route(s.current->request.stmt.kind))
        return answer_locally(
            in, number,
            failure{failure_code::busy, "this host has no configuration yet"});
    if (is_configured(in.pooler) && !refresh_route(in.pooler, s))
        return answer_locally(
            in, number, failure{failure_code::unknown_database, s.database});
    s.current->deadline = in.now + s.active_route.statement_timeout;
    in.pooler.active_sessions.insert(number);
    run_statement(in, number, s);
}

void next_statement(context& in, session_number number)
{
    auto& s = in.pooler.sessions.at(number);
    if (s.current || s.backlog.empty())
        return;
    auto what = std::move(s.backlog.front());
    s.backlog.pop_front();
    begin_statement(in, number, std::move(what));
}

void erase_session(context& in, session_number number)
{
    const auto it = in.pooler.sessions.find(number);
    end_transaction(in, it->second);
    in.pooler.active_sessions.erase(number);
    in.pooler.sessions.erase(it);
}

void report(context& in, const caller_session& s, const answer& what)
{
    const auto& p = *s.current;
    const auto* f = failure_of(what);
    statement_ended m;
    m.importance = s.active_route.importance;
    m.succeeded = f == nullptr;
    if (f)
        m.reason = to_string(f->code);
    m.took = in.now - p.arrived;
    m.waited = (p.sent ? *p.sent : in.now) - p.arrived;
    in.out.push_back(std::move(m));
}

/// The decision with the inputs that led to it, for the log.
decision_note describe_failure(const context& in, const caller_session& s,
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
        in.now - p.arrived);
    const auto g = in.pooler.groups.find(s.active_route.group);
    if (g == in.pooler.groups.end())
        return note;
    note.server = g->second.primary.value_or(core::server_id{});
    const auto& samples = g->second.history.samples;
    if (!samples.empty())
        note.position_age =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                in.now - samples.back().sent);
    return note;
}

}  // namespace

session_state state_of(const caller_session& it)
{
    switch (it.tx.phase)
    {
        case transaction_phase::none:
            return session_state::idle;
        case transaction_phase::failed:
            return it.tx.lost_reason.empty() ? session_state::failed_transaction
                                             : session_state::in_transaction;
        default:
            return session_state::in_transaction;
    }
}

void finish_statement(context& in, session_number number, answer what)
{
    auto& s = in.pooler.sessions.at(number);
    report(in, s, what);
    in.pooler.active_sessions.erase(number);
    s.current.reset();
    s.idle_since = in.now;
    if (s.gone)
        return erase_session(in, number);
    in.out.push_back(reply_to_caller{number, std::move(what)});
    next_statement(in, number);
}

void fail_statement(context& in, session_number number, failure_code code,
                    std::string reason)
{
    auto& s = in.pooler.sessions.at(number);
    const bool ends = s.current->request.stmt.kind == verb::commit;
    if (s.tx.phase != transaction_phase::none)
    {
        end_transaction(in, s);
        s.tx.phase = ends ? transaction_phase::none : transaction_phase::failed;
    }
    in.out.push_back(describe_failure(in, s, code, reason));
    finish_statement(in, number,
                     {{}, failure{code, std::move(reason)}, state_of(s), {}});
}

void answer_locally(context& in, session_number number, statement_result what)
{
    const auto& s = in.pooler.sessions.at(number);
    finish_statement(in, number, {{}, std::move(what), state_of(s), {}});
}

void start_session(context& in, const caller_started& what)
{
    caller_session s;
    s.database = what.database;
    s.idle_since = in.now;
    // Before the first configuration nothing is known of any database.
    if (is_configured(in.pooler) && !refresh_route(in.pooler, s))
    {
        in.out.push_back(refuse_caller{
            what.session, {failure_code::unknown_database, what.database}});
        return;
    }
    in.pooler.sessions.emplace(what.session, std::move(s));
    in.out.push_back(accept_caller{what.session});
}

void take_query(context& in, const caller_query& what)
{
    const auto it = in.pooler.sessions.find(what.session);
    if (it == in.pooler.sessions.end())
        return;
    if (it->second.backlog.size() >= in.pooler.settings.most_backlog)
        return close_session(in, what.session);
    it->second.backlog.push_back(what.request);
    next_statement(in, what.session);
}

void end_session(context& in, session_number number)
{
    const auto it = in.pooler.sessions.find(number);
    if (it == in.pooler.sessions.end())
        return;
    auto& s = it->second;
    s.gone = true;
    s.backlog.clear();
    if (!s.current)
        return erase_session(in, number);
    if (s.current->queued)
    {
        auto& g = in.pooler.groups.at(s.active_route.group);
        admission::remove(queue_of(g, *s.current), {std::to_string(number)});
        return fail_statement(in, number, failure_code::busy, "caller left");
    }
    // A statement that a member runs already is left to end.
    if (s.current->send_again)
        fail_statement(in, number, failure_code::aborted, "caller left");
}

void close_session(context& in, session_number number)
{
    end_session(in, number);
    in.out.push_back(close_caller{number});
}

}  // namespace godwitbarrow::pooler::detail
