#include "setup.hpp"

#include "connections.hpp"
#include "observations.hpp"
#include "placement.hpp"
#include "primary_evidence.hpp"
#include "sending.hpp"

namespace godwitbarrow::pooler::detail
{
namespace
{

/// Whether the setup may be sent again: the member was only busy and has kept
/// the transaction.
bool may_repeat_setup(const context& ctx, const caller_session& s,
                      const failure& why, session_state left)
{
    return why.code == failure_code::busy &&
           left == session_state::in_transaction && !s.disconnected &&
           ctx.now < s.current->deadline;
}

/// Retries or aborts a statement in an open transaction whose setup failed.
void handle_setup_failure_on_held(context& ctx, backend_connection& c,
                                  const failure& why, session_state left)
{
    const auto user = c.user;
    auto& s = ctx.pooler.sessions.at(user);
    release_slots(ctx, user, false);
    if (!may_repeat_setup(ctx, s, why, left))
        return fail_statement(ctx, user, failure_code::aborted, why.text);
    // Inside a transaction a session only adds values, so setting all of them
    // again leaves no other value on the connection.
    c.values.clear();
    s.current->retry_on_held = true;
}

/// Continues with the statement that waited for the setup, or retries it. No
/// part of it was sent to the member yet.
void finish_setup(context& ctx, connection_number number, session_state left)
{
    auto& c = ctx.pooler.connections.at(number);
    if (!c.after_setup || !c.outstanding.empty())
        return;
    const auto user = c.user;
    const auto& s = ctx.pooler.sessions.at(user);
    const bool open = s.tx.phase == transaction_phase::open;
    const bool revoked =
        !open && s.current->primary_only &&
        (is_on_revoked_primary(ctx, c) || !is_confirmed(ctx, c));
    if (!c.setup_failure && !s.disconnected && !revoked)
        return send_after_setup(ctx, number);
    c.after_setup.reset();
    const failure why = c.setup_failure.value_or(
        failure{failure_code::busy, revoked ? "the primary is being replaced"
                                            : "caller disconnected"});
    if (open)
        return handle_setup_failure_on_held(ctx, c, why, left);
    requeue_statement(ctx, user, why);
    finish_connection(ctx, number, session_state::idle);
}

}  // namespace

void forget_prepared(backend_connection& c, const caller_session& s)
{
    const auto it = s.prepared.find(s.current->request.stmt.name);
    if (it != s.prepared.end())
        c.prepared.erase(it->second.member_name);
}

void handle_setup_answer(context& ctx, connection_number number,
                         const answer& a, purpose why)
{
    auto& c = ctx.pooler.connections.at(number);
    if (const auto* f = failure_of(a))
    {
        log_observation(ctx, c, "connection setup failed", f->text);
        record_refusal(ctx, c, *f);
        if (!c.setup_failure || c.setup_failure->code == failure_code::busy)
            c.setup_failure = *f;
        const auto s = ctx.pooler.sessions.find(c.user);
        if (why == purpose::prepare && s != ctx.pooler.sessions.end() &&
            s->second.current)
            forget_prepared(c, s->second);
    }
    finish_setup(ctx, number, a.state);
}

}  // namespace godwitbarrow::pooler::detail
