#include <algorithm>

#include "godwitbarrow/model/group.hpp"
#include "log.hpp"

namespace godwitbarrow::model
{
namespace detail
{
namespace
{

using pooler::failure_code;
using pooler::session_state;
using pooler::verb;

struct context
{
    group& all;
    session_number number;
    member_session& session;
    member& at;
    core::time_point now;
};

pooler::answer answer_with(const context& in, pooler::statement_result result,
                           std::vector<std::string> rows = {})
{
    return {std::move(rows), std::move(result), in.session.state,
            position_of(in.at)};
}

executed refuse(context& in, failure_code code)
{
    // A member that is busy did not look at the statement.
    const bool fails = code != failure_code::busy;
    if (fails && in.session.state == session_state::in_transaction)
        in.session.state = session_state::failed_transaction;
    return {answer_with(in, pooler::failure{code, in.session.server.value}),
            std::nullopt};
}

executed done(const context& in)
{
    return {answer_with(in, pooler::success{}), std::nullopt};
}

run describe(const context& in, const pooler::query& what)
{
    run it;
    it.id = what.id;
    it.server = in.session.server;
    it.session = in.number;
    it.transaction = in.session.transaction;
    it.what = what.stmt;
    it.values = in.session.values;
    return it;
}

executed sign(const context& in, run it)
{
    it.signature =
        in.all.name.value + "." + std::to_string(++in.all.last_signature);
    return {answer_with(in, pooler::success{it.signature}, it.rows),
            std::move(it)};
}

std::pair<std::string, std::string> split(const std::string& text)
{
    const auto n = text.find(' ');
    if (n == std::string::npos)
        return {text, {}};
    return {text.substr(0, n), text.substr(n + 1)};
}

/// Gives the commit to one replica at once; false if none can receive it.
bool replicate_at_once(group& all, const member& from)
{
    for (auto& [id, to] : all.members)
    {
        const bool reached = to.running && to.receives && to.paused_at == 0;
        if (id == all.primary || !reached || to.log_term != from.log_term)
            continue;
        for (auto n = to.log.size(); n < from.log.size(); ++n)
            append(to, from.log[n]);
        return true;
    }
    return false;
}

/// Commits what the session wrote; `what` is the statement that ends it.
executed commit_changes(context& in, const pooler::query& what,
                        std::vector<change> changes)
{
    auto it = describe(in, what);
    bool acknowledged = true;
    if (!changes.empty())
    {
        const auto position = position_of(in.at);
        commit made{in.all.name,
                    {in.at.log_term, position.position + 1},
                    std::move(changes),
                    in.now};
        it.committed = std::make_shared<const commit>(std::move(made));
        append(in.at, it.committed);
        if (in.all.former_primary == in.session.server)
            in.all.rolled_back.insert(it.committed);
        if (in.all.synchronous_replicas > 0)
            acknowledged = replicate_at_once(in.all, in.at);
    }
    auto out = sign(in, std::move(it));
    if (!acknowledged)
        out.answer.reset();
    return out;
}

void end_transaction(member_session& s)
{
    s.state = session_state::idle;
    s.transaction = 0;
    s.uncommitted.clear();
}

/// Whether the member of a plain transaction has lost the lead since.
bool is_deposed(const context& in)
{
    return in.session.transaction != 0 && !in.session.read_only &&
           (!leads(in.all, in.session.server) ||
            in.session.began_in != in.at.log_term);
}

executed run_begin(context& in, const pooler::query& what, bool read_only)
{
    auto& s = in.session;
    if (s.transaction != 0)
        return refuse(in, failure_code::malformed);
    if (what.after && !has_position(in.at, *what.after))
        return refuse(in, failure_code::lagging);
    if (!read_only && !leads(in.all, s.server))
        return refuse(in, failure_code::read_only);
    s.state = session_state::in_transaction;
    s.read_only = read_only;
    s.began_in = in.at.log_term;
    s.transaction = ++in.all.last_transaction;
    return done(in);
}

executed run_end(context& in, const pooler::query& what)
{
    auto& s = in.session;
    if (s.transaction == 0)
        return refuse(in, failure_code::malformed);
    const bool failed = s.state == session_state::failed_transaction;
    if (what.stmt.kind == verb::rollback)
    {
        end_transaction(s);
        return done(in);
    }
    if (failed || (is_deposed(in) && !s.uncommitted.empty()))
    {
        const auto code =
            failed ? failure_code::aborted : failure_code::read_only;
        end_transaction(s);
        return refuse(in, code);
    }
    auto changes = std::move(s.uncommitted);
    const auto transaction = s.transaction;
    end_transaction(s);
    auto out = commit_changes(in, what, std::move(changes));
    out.what->transaction = transaction;
    return out;
}

executed run_read(context& in, const pooler::query& what,
                  const std::string& item, const std::string& shape)
{
    if (what.after && !has_position(in.at, *what.after))
        return refuse(in, failure_code::lagging);
    std::string value = "none";
    const auto n = in.at.items.find(item);
    if (n != in.at.items.end())
        value = n->second;
    for (const auto& it : in.session.uncommitted)
        if (it.item == item)
            value = it.value;
    auto it = describe(in, what);
    it.shape = shape;
    it.rows.push_back(std::move(value));
    return sign(in, std::move(it));
}

executed run_write(context& in, const pooler::query& what,
                   const std::string& arguments, const std::string& shape)
{
    auto& s = in.session;
    if (!leads(in.all, s.server) || (s.transaction != 0 && s.read_only))
        return refuse(in, failure_code::read_only);
    auto [item, value] = split(arguments);
    change made{std::move(item), std::move(value), what.id};
    if (s.transaction == 0)
    {
        auto out = commit_changes(in, what, {std::move(made)});
        out.what->shape = shape;
        return out;
    }
    s.uncommitted.push_back(std::move(made));
    auto it = describe(in, what);
    it.shape = shape;
    return sign(in, std::move(it));
}

executed run_execute(context& in, const pooler::query& what)
{
    const auto it = in.session.prepared.find(what.stmt.name);
    if (it == in.session.prepared.end())
        return refuse(in, failure_code::unknown_statement);
    const auto prepared = it->second;
    if (prepared.writes)
        return run_write(in, what, what.stmt.text, prepared.text);
    return run_read(in, what, split(what.stmt.text).first, prepared.text);
}

/// Statements that change the session only.
executed run_setup(context& in, const pooler::query& what)
{
    auto& s = in.session;
    switch (what.stmt.kind)
    {
        case verb::set:
            s.values[what.stmt.name] = what.stmt.text;
            return done(in);
        case verb::prepare:
            s.prepared[what.stmt.name] = what.stmt;
            return done(in);
        case verb::deallocate:
            s.prepared.erase(what.stmt.name);
            return done(in);
        case verb::reset:
            s.values.clear();
            s.prepared.clear();
            return done(in);
        default:
            return refuse(in, failure_code::malformed);
    }
}

executed run_statement(context& in, const pooler::query& what)
{
    const auto kind = what.stmt.kind;
    if (kind == verb::commit || kind == verb::rollback)
        return run_end(in, what);
    if (in.session.state == session_state::failed_transaction)
        return refuse(in, failure_code::malformed);
    if (is_deposed(in))
        return refuse(in, failure_code::read_only);
    switch (kind)
    {
        case verb::begin:
            return run_begin(in, what, false);
        case verb::begin_read:
            return run_begin(in, what, true);
        case verb::read:
            return run_read(in, what, split(what.stmt.text).second, {});
        case verb::write:
            return run_write(in, what, split(what.stmt.text).second, {});
        case verb::execute:
            return run_execute(in, what);
        default:
            return run_setup(in, what);
    }
}

/// Whether the member refuses this statement, whatever its kind; spread evenly
/// over statements.
bool refuses_now(context& in)
{
    if (in.at.failing_percent == 0)
        return false;
    in.all.failing_counter += in.at.failing_percent;
    if (in.all.failing_counter < 100)
        return false;
    in.all.failing_counter -= 100;
    return true;
}

}  // namespace
}  // namespace detail

executed execute(group& it, session_number session, const pooler::query& what,
                 core::time_point now)
{
    auto& s = it.sessions.at(session);
    detail::context in{it, session, s, it.members.at(s.server), now};
    if (detail::refuses_now(in))
        return detail::refuse(in, pooler::failure_code::busy);
    return detail::run_statement(in, what);
}

}  // namespace godwitbarrow::model
