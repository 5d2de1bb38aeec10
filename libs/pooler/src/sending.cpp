#include "sending.hpp"

#include <utility>
#include <vector>

#include "connections.hpp"
#include "freshness.hpp"

namespace godwitbarrow::pooler::detail
{
namespace
{

void append(backend_connection& c, std::vector<query>& to, query what,
            purpose why)
{
    c.outstanding.push_back(why);
    to.push_back(std::move(what));
}

void record_write(caller_session& s)
{
    if (s.tx.phase != transaction_phase::none &&
        writes_data(s, s.current->request.stmt))
        s.tx.wrote = true;
}

purpose purpose_of_setup(const query& it)
{
    return it.stmt.kind == verb::prepare ? purpose::prepare
                                         : purpose::set_values;
}

/// Appends what gives the connection the values and the prepared statement of
/// the session.
void append_setup(backend_connection& c, std::vector<query>& to,
                  const caller_session& s)
{
    c.setup_failure.reset();
    for (auto& it : setup_statements(c, s))
    {
        const auto why = purpose_of_setup(it);
        append(c, to, std::move(it), why);
    }
}

/// Appends the caller's statement, or keeps it until the setup has succeeded if
/// `to` holds one.
void append_after_setup(context& ctx, backend_connection& c,
                        std::vector<query>& to, caller_session& s, query what)
{
    if (!to.empty())
    {
        c.after_setup = std::move(what);
        s.current->sent.reset();
        return;
    }
    append(c, to, std::move(what), purpose::caller);
    s.current->sent = ctx.now;
    record_write(s);
}

/// Returns the caller's statement with the member's name of the prepared
/// statement.
query translate_for_member(const caller_session& s)
{
    auto out = s.current->request;
    if (out.stmt.kind == verb::execute)
        out.stmt.name = s.prepared.at(out.stmt.name).member_name;
    return out;
}

}  // namespace

bool writes_data(const caller_session& s, const statement& what)
{
    if (what.kind != verb::execute)
        return what.kind == verb::write;
    const auto it = s.prepared.find(what.name);
    return it != s.prepared.end() && it->second.writes;
}

void send_first(context& ctx, const group& g, session_number number)
{
    auto& s = ctx.pooler.sessions.at(number);
    auto& p = *s.current;
    auto& c = ctx.pooler.connections.at(p.connection);
    std::vector<query> out;
    append_setup(c, out, s);
    const auto& what = p.request.stmt;
    const bool in_transaction = s.tx.phase != transaction_phase::none;
    const auto position = p.primary_only
                              ? std::nullopt
                              : required_position(g, s, ctx.pooler.settings);
    if (in_transaction && s.tx.read_only && position)
    {
        append(c, out, {{}, {verb::begin_read, {}, false, {}}, position},
               purpose::begin_read);
    }
    else if (in_transaction || (!position && !writes_data(s, what)))
    {
        // Only a primary accepts a read-write transaction, so a read inside one
        // cannot run on a primary that was replaced.
        append(c, out, {{}, {verb::begin, {}, false, {}}, std::nullopt},
               purpose::begin_read_write);
    }
    else
    {
        auto q = translate_for_member(s);
        if (!writes_data(s, what))
            q.after = position;
        append_after_setup(ctx, c, out, s, std::move(q));
    }
    ctx.out.push_back(send_to_member{p.connection, std::move(out)});
}

void send_on_held(context& ctx, session_number number)
{
    auto& s = ctx.pooler.sessions.at(number);
    auto& p = *s.current;
    auto& c = ctx.pooler.connections.at(s.tx.connection);
    c.phase = connection_phase::busy;
    c.phase_since = ctx.now;
    c.sent = ctx.now;
    const auto g = ctx.pooler.groups.find(c.group);
    if (g != ctx.pooler.groups.end())
        if (const auto m = g->second.members.find(c.server);
            m != g->second.members.end())
            ++m->second.running;
    p.connection = s.tx.connection;
    p.retry_on_held = false;
    std::vector<query> out;
    append_setup(c, out, s);
    append_after_setup(ctx, c, out, s, translate_for_member(s));
    ctx.out.push_back(send_to_member{s.tx.connection, std::move(out)});
}

void send_after_setup(context& ctx, connection_number number)
{
    auto& c = ctx.pooler.connections.at(number);
    auto& s = ctx.pooler.sessions.at(c.user);
    auto what = *std::exchange(c.after_setup, std::nullopt);
    c.sent = ctx.now;
    std::vector<query> out;
    append_after_setup(ctx, c, out, s, std::move(what));
    ctx.out.push_back(send_to_member{number, std::move(out)});
}

void send_after_begin(context& ctx, connection_number number)
{
    auto& c = ctx.pooler.connections.at(number);
    auto& s = ctx.pooler.sessions.at(c.user);
    auto& p = *s.current;
    std::vector<query> out;
    p.sent = ctx.now;
    c.sent = ctx.now;
    const bool autocommit = s.tx.phase == transaction_phase::none;
    if (!autocommit)
    {
        s.tx.phase = transaction_phase::open;
        s.tx.connection = number;
        record_write(s);
    }
    append(c, out, translate_for_member(s), purpose::caller);
    if (autocommit)
        append(c, out, {{}, {verb::rollback, {}, false, {}}, std::nullopt},
               purpose::cleanup);
    ctx.out.push_back(send_to_member{number, std::move(out)});
}

}  // namespace godwitbarrow::pooler::detail
