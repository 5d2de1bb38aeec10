#include "godwitbarrow/model/oracle.hpp"

#include <algorithm>

namespace godwitbarrow::model
{
namespace detail
{
namespace
{

using pooler::failure_code;
using pooler::read_policy;
using pooler::verb;

/// A run that finds more is stopped by its reader.
constexpr std::size_t most_violations = 50;

void report(oracle& it, const std::string& promise, const std::string& what)
{
    if (it.violations.size() < most_violations)
        it.violations.push_back(promise + ": " + what);
}

bool reads_data(const sent_statement& it)
{
    const auto kind = it.what.stmt.kind;
    return kind == verb::read || (kind == verb::execute && !it.writes);
}

bool reaches_members(verb it)
{
    return it == verb::read || it == verb::write || it == verb::execute ||
           it == verb::commit;
}

/// Whether what ran is what the caller sent.
bool is_same(const run& ran, const sent_statement& sent)
{
    const auto& what = sent.what.stmt;
    if (ran.what.kind != what.kind || ran.what.text != what.text)
        return false;
    return what.kind != verb::execute || ran.shape == sent.shape;
}

void check_place(oracle& it, const core::group_id& group, const run& ran,
                 const sent_statement& sent, operation& of)
{
    const auto id = ran.id.value;
    if (of.in_transaction && ran.transaction == 0)
        report(it, "isolation", id + " ran outside of its transaction");
    const bool first = of.session == 0;
    if (first)
    {
        of.session = ran.session;
        of.transaction = ran.transaction;
    }
    const bool moved =
        of.session != ran.session || of.transaction != ran.transaction;
    if (of.in_transaction && !first && moved)
        report(it, "isolation", id + " ran apart from its transaction");
    if (ran.transaction == 0)
        return;
    const auto [owner, added] = it.owners.emplace(
        std::make_pair(group, ran.transaction), sent.operation);
    if (!added && owner->second != sent.operation)
        report(it, "isolation", id + " ran in the transaction of another");
}

void check_session(oracle& it, const run& ran, const sent_statement& sent)
{
    if (ran.what.kind != verb::commit && sent.values != ran.values)
        report(it, "session values", ran.id.value + " ran with other values");
}

bool is_dropped(const group& at, const commit_ptr& what)
{
    return at.rolled_back.count(what) > 0;
}

std::string describe(const commit& it)
{
    return std::to_string(it.at.term) + "." + std::to_string(it.at.position);
}

void check_age(oracle& it, const group& at, const run& ran, const operation& of,
               const pooler::route& by)
{
    const auto& log = at.members.at(ran.server);
    const auto bound = by.reads == read_policy::newest
                           ? of.first_byte
                           : of.first_byte - by.max_age;
    for (const auto& c : it.acknowledged[at.name])
    {
        const bool own = by.reads == read_policy::own_writes &&
                         c.caller == of.caller && c.at < of.first_byte;
        if (c.at >= bound && !own)
            continue;
        if (contains(log, *c.what) || is_dropped(at, c.what))
            continue;
        return report(it, "freshness",
                      ran.id.value + " read at " + ran.server.value +
                          " without commit " + describe(*c.what));
    }
}

/// Keeps the commits that a read could still miss.
void forget_old(std::vector<acknowledged_commit>& all, core::time_point now)
{
    constexpr std::chrono::seconds longest_lag{60};
    const auto old =
        std::find_if(all.begin(), all.end(),
                     [&](const auto& c) { return now - c.at < longest_lag; });
    if (old - all.begin() > 1000)
        all.erase(all.begin(), old);
}

void check_commit(oracle& it, const run& ran)
{
    for (const auto& c : ran.committed->changes)
    {
        const auto s = it.statements.find(c.by);
        if (s == it.statements.end())
            continue;
        if (++s->second.commits > 1)
            report(it, "at most once", c.by.value + " was committed again");
        auto& of = it.operations.at(s->second.operation);
        of.committed = ran.committed;
        if (of.result == told::refused)
            report(it, "true refusals",
                   c.by.value + " was committed after a refusal");
    }
}

void take_success(oracle& it, caller_number number, const sent_statement& sent,
                  const pooler::answer& what, core::time_point now)
{
    const auto& id = sent.what.id;
    const auto& signature = std::get<pooler::success>(what.result).signature;
    if (!reaches_members(sent.what.stmt.kind))
        return;
    const auto found = it.answers.find(signature);
    if (found == it.answers.end() || found->second.id != id)
        return report(it, "own answers",
                      id.value + " was answered without its member's proof");
    if (found->second.rows != what.rows)
        report(it, "own answers", id.value + " was answered with other rows");
    if (found->second.at_former_primary)
    {
        if (now >= it.excused_until)
            report(it, "one primary",
                   id.value + " was acknowledged by a replaced primary");
    }
    else if (const auto& c = found->second.committed)
    {
        it.acknowledged[c->group].push_back({c, now, number});
        forget_old(it.acknowledged[c->group], now);
    }
    it.answers.erase(found);
}

void take_refusal(oracle& it, std::uint64_t number, const std::string& id)
{
    auto& of = it.operations.at(number);
    of.result = told::refused;
    if (of.committed)
        report(it, "true refusals", id + " was refused after its commit");
}

/// What the statement does to the caller's session, once it succeeded.
void note_session(caller_view& c, const pooler::statement& what)
{
    switch (what.kind)
    {
        case verb::set:
            c.values[what.name] = what.text;
            return;
        case verb::prepare:
            c.prepared[what.name] = what;
            return;
        case verb::deallocate:
            c.prepared.erase(what.name);
            return;
        default:
            return;
    }
}

std::uint64_t operation_for(oracle& it, caller_number number, caller_view& c,
                            verb kind, core::time_point now)
{
    if (c.transaction != 0)
        return c.transaction;
    const auto n = ++it.last_operation;
    auto& of = it.operations[n];
    of.caller = number;
    of.first_byte = now;
    of.in_transaction = kind == verb::begin || kind == verb::begin_read;
    if (of.in_transaction)
        c.transaction = n;
    return n;
}

}  // namespace
}  // namespace detail

bool is_refusal(const pooler::answer& it)
{
    using pooler::failure_code;
    const auto* f = pooler::failure_of(it);
    if (!f)
        return false;
    switch (f->code)
    {
        case failure_code::busy:
        case failure_code::aborted:
        case failure_code::lagging:
        case failure_code::read_only:
        case failure_code::misrouted:
        case failure_code::too_many_connections:
            return true;
        default:
            return false;
    }
}

void caller_started(oracle& it, caller_number caller, const pooler::route& by)
{
    it.callers[caller] = {};
    it.callers[caller].by = by;
}

void caller_ended(oracle& it, caller_number caller)
{
    it.callers.erase(caller);
}

void statement_sent(oracle& it, caller_number caller, const pooler::query& what,
                    core::time_point now)
{
    auto& c = it.callers.at(caller);
    sent_statement s;
    s.operation = detail::operation_for(it, caller, c, what.stmt.kind, now);
    s.what = what;
    s.values = c.values;
    s.writes = what.stmt.kind == pooler::verb::write;
    if (what.stmt.kind == pooler::verb::execute)
    {
        const auto& p = c.prepared.at(what.stmt.name);
        s.shape = p.text;
        s.writes = p.writes;
    }
    it.statements.emplace(what.id, std::move(s));
    c.waiting = what.id;
}

void statement_answered(oracle& it, caller_number caller,
                        const pooler::answer& what, core::time_point now)
{
    auto& c = it.callers.at(caller);
    if (!c.waiting)
        return detail::report(it, "own answers",
                              "an answer to nothing was sent");
    const auto id = *c.waiting;
    c.waiting.reset();
    const auto& sent = it.statements.at(id);
    if (!pooler::failure_of(what))
    {
        detail::take_success(it, caller, sent, what, now);
        detail::note_session(c, sent.what.stmt);
    }
    else if (is_refusal(what))
    {
        detail::take_refusal(it, sent.operation, id.value);
    }
    if (what.state == pooler::session_state::idle)
        c.transaction = 0;
}

void statement_ran(oracle& it, const group& at, const run& what)
{
    if (what.committed)
        detail::check_commit(it, what);
    if (what.id.value.empty())
    {
        if (what.committed)
            detail::report(it, "own statements",
                           "a commit that no caller asked for");
        return;
    }
    const auto found = it.statements.find(what.id);
    if (found == it.statements.end() || !detail::is_same(what, found->second))
        return detail::report(it, "own statements",
                              what.id.value + " is no statement of a caller");
    auto& sent = found->second;
    sent.ran = true;
    auto& of = it.operations.at(sent.operation);
    detail::check_place(it, at.name, what, sent, of);
    detail::check_session(it, what, sent);
    it.answers[what.signature] = {
        what.id, what.rows, what.committed,
        what.committed && detail::is_dropped(at, what.committed)};
    ++(sent.writes ? it.writes : it.reads);
    const auto c = it.callers.find(of.caller);
    if (detail::reads_data(sent) && c != it.callers.end())
        detail::check_age(it, at, what, of, c->second.by);
}

void primary_changed(oracle& it, const group& at)
{
    if (at.synchronous_replicas == 0)
        return;
    for (const auto& c : it.acknowledged[at.name])
        if (detail::is_dropped(at, c.what))
            detail::report(it, "synchronous commits",
                           "commit " + detail::describe(*c.what) +
                               " was lost by a promotion");
}

}  // namespace godwitbarrow::model
