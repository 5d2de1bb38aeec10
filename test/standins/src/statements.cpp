#include "godwitbarrow/standins/statements.hpp"

#include <utility>

namespace godwitbarrow::standins
{

namespace detail
{
namespace
{

using core::access_mode;
using core::reply_status;

/// One call while it runs.
struct running_call
{
    member_state& member;
    std::optional<transaction>& open;
    const backend::statement_call& call;
    core::time_point now;
    core::backend_reply reply;
};

void refuse(running_call& it, reply_status why, std::string message)
{
    it.reply.status = why;
    it.reply.message = std::move(message);
}

bool is_change(const statement& it)
{
    return it.what != statement::verb::get;
}

std::vector<std::string> rows_of(const std::map<std::string, std::string>& data,
                                 const statement& it)
{
    const auto found = data.find(it.key);
    if (it.what == statement::verb::put || found == data.end())
        return {};
    return {found->second};
}

/// The data of one key, which is all that a statement needs.
std::map<std::string, std::string> view_of(
    const std::map<std::string, std::string>& data, const std::string& key)
{
    const auto found = data.find(key);
    if (found == data.end())
        return {};
    return {*found};
}

std::optional<statement> parse_or_refuse(running_call& it)
{
    auto s = parse_statement(it.call.statement);
    if (!s)
        refuse(it, reply_status::rejected,
               "unknown statement; write put K V, get K or append K V");
    return s;
}

bool is_served_here(running_call& it)
{
    if (it.call.term != it.member.term)
    {
        notice_term(it.member, it.call.term);
        refuse(it, reply_status::wrong_term,
               "the member is in another term; read its status");
        return false;
    }
    if (!is_current(it.member))
    {
        refuse(it, reply_status::wrong_term,
               "the member has not joined the term yet; use another member");
        return false;
    }
    return true;
}

bool is_primary(running_call& it)
{
    if (it.member.role == core::member_role::primary)
        return true;
    refuse(it, reply_status::not_primary,
           "the member is a replica; send the statement to the primary");
    return false;
}

/// Answers a key that the log contains with the stored result, at its position
/// in the present term.
bool answer_stored(running_call& it)
{
    if (!it.call.key)
        return false;
    auto stored = lookup(it.member, it.call.key->value, it.now).stored;
    if (!stored)
        return false;
    it.reply.at = stored->at;
    it.reply.rows = std::move(stored->rows);
    return true;
}

void append_entry(running_call& it, std::vector<std::string> changes)
{
    log_entry e;
    e.changes = std::move(changes);
    e.key = it.call.key ? it.call.key->value : "";
    e.rows = it.reply.rows;
    e.held_since = it.now;
    it.reply.at.position = append(it.member, std::move(e));
}

void read(running_call& it)
{
    const auto s = parse_or_refuse(it);
    if (!s)
        return;
    if (is_change(*s))
        return refuse(it, reply_status::rejected,
                      "a read cannot change data; send it as a write");
    it.reply.rows = rows_of(it.member.data, *s);
}

void write(running_call& it)
{
    if (!is_primary(it) || answer_stored(it))
        return;
    const auto s = parse_or_refuse(it);
    if (!s)
        return;
    if (!is_change(*s))
        return refuse(it, reply_status::rejected,
                      "a write must change data; send it as a read");
    auto view = view_of(it.member.data, s->key);
    apply(view, *s);
    it.reply.rows = rows_of(view, *s);
    append_entry(it, {it.call.statement});
}

void begin(running_call& it)
{
    if (!is_primary(it))
        return;
    if (it.open)
        return refuse(it, reply_status::rejected,
                      "the connection has a transaction; end it first");
    it.open = transaction{it.member.term, {}};
}

bool has_transaction(running_call& it)
{
    if (it.open && it.open->term == it.member.term)
        return true;
    refuse(it, reply_status::rejected,
           "the connection has no transaction; start again from begin");
    return false;
}

void run_inside(running_call& it)
{
    if (!is_primary(it) || !has_transaction(it))
        return;
    const auto s = parse_or_refuse(it);
    if (!s)
        return;
    auto view = view_of(it.member.data, s->key);
    for (const auto& c : it.open->changes)
        if (const auto earlier = parse_statement(c); earlier->key == s->key)
            apply(view, *earlier);
    apply(view, *s);
    it.reply.rows = rows_of(view, *s);
    if (is_change(*s))
        it.open->changes.push_back(it.call.statement);
}

void commit(running_call& it)
{
    if (!is_primary(it) || answer_stored(it) || !has_transaction(it))
        return;
    if (!it.open->changes.empty())
        append_entry(it, it.open->changes);
}

void dispatch(running_call& it)
{
    const bool inside = it.call.in_transaction;
    switch (it.call.access)
    {
        case access_mode::read:
            return inside ? run_inside(it) : read(it);
        case access_mode::write:
            return inside ? run_inside(it) : write(it);
        case access_mode::begin:
            return begin(it);
        case access_mode::statement:
            return run_inside(it);
        case access_mode::commit:
            return commit(it);
        case access_mode::rollback:
            return;
    }
}

bool ends_transaction(const running_call& it)
{
    return it.call.access == access_mode::commit ||
           it.call.access == access_mode::rollback ||
           it.reply.status == reply_status::wrong_term ||
           it.reply.status == reply_status::not_primary;
}

}  // namespace
}  // namespace detail

std::optional<statement> parse_statement(std::string_view text)
{
    const auto first = text.find(' ');
    if (first == std::string_view::npos)
        return {};
    const auto verb = text.substr(0, first);
    const auto rest = text.substr(first + 1);
    const auto second = rest.find(' ');
    statement s;
    s.key = rest.substr(0, second);
    const bool has_value = second != std::string_view::npos;
    if (has_value)
        s.value = rest.substr(second + 1);
    if (verb == "put")
        s.what = statement::verb::put;
    else if (verb == "append")
        s.what = statement::verb::append;
    else if (verb != "get")
        return {};
    if (s.key.empty() || has_value != detail::is_change(s))
        return {};
    return s;
}

void apply(std::map<std::string, std::string>& data, const statement& it)
{
    if (it.what == statement::verb::put)
        data[it.key] = it.value;
    else if (it.what == statement::verb::append)
        data[it.key] += it.value;
}

core::backend_reply execute(member_state& it, std::optional<transaction>& open,
                            const backend::statement_call& call,
                            core::time_point now)
{
    detail::running_call c{it, open, call, now, {}};
    c.reply.id = call.id;
    if (detail::is_served_here(c))
        detail::dispatch(c);
    if (detail::ends_transaction(c))
        open.reset();
    if (c.reply.at.position == 0)
        c.reply.at.position = it.log.size();
    c.reply.at.term = it.term;
    return c.reply;
}

backend::lookup_answer lookup(const member_state& it, const std::string& key,
                              core::time_point now)
{
    backend::lookup_answer a;
    a.status = status_of(it, now);
    const auto found = it.positions_of_keys.find(key);
    if (found == it.positions_of_keys.end())
        return a;
    a.stored.emplace();
    a.stored->at = {it.log_term, found->second};
    a.stored->rows = it.log[found->second - 1].rows;
    return a;
}

}  // namespace godwitbarrow::standins
