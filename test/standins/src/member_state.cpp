#include "godwitbarrow/standins/member_state.hpp"

#include <algorithm>
#include <utility>

#include "godwitbarrow/standins/statements.hpp"

namespace godwitbarrow::standins
{

namespace detail
{
namespace
{

core::log_number last_position(const std::vector<log_span>& spans)
{
    return spans.empty() ? 0 : spans.back().last;
}

/// Greatest position at which both logs have an entry of the same term.
core::log_number common_prefix(const std::vector<log_entry>& log,
                               const std::vector<log_span>& spans)
{
    auto p = std::min<core::log_number>(log.size(), last_position(spans));
    auto i = spans.size();
    for (; p > 0; --p)
    {
        while (i > 1 && spans[i - 2].last >= p)
            --i;
        if (log[p - 1].term == spans[i - 1].term)
            break;
    }
    return p;
}

void apply_entry(member_state& it, log_entry entry)
{
    for (const auto& c : entry.changes)
        if (const auto s = parse_statement(c))
            apply(it.data, *s);
    it.log.push_back(std::move(entry));
    const auto& added = it.log.back();
    if (it.spans.empty() || it.spans.back().term != added.term)
        it.spans.push_back({added.term, 0});
    it.spans.back().last = it.log.size();
    if (!added.key.empty())
        it.positions_of_keys.emplace(added.key, it.log.size());
}

void truncate(member_state& it, core::log_number length)
{
    if (length >= it.log.size())
        return;
    auto kept = std::move(it.log);
    kept.resize(length);
    it.log.clear();
    it.spans.clear();
    it.data.clear();
    it.positions_of_keys.clear();
    for (auto& e : kept)
        apply_entry(it, std::move(e));
}

void enter_term(member_state& it, core::term_number term)
{
    it.term = term;
    it.role = core::member_role::replica;
    it.primary.clear();
    it.attempt.clear();
}

/// Whether the log with the entries of the reply holds the primary's base log.
bool reaches_base(const pull_reply& reply)
{
    return reply.common + reply.entries.size() >= reply.base;
}

/// A joined replica only appends, because its log counts for
/// acknowledgements. Before that its tail may diverge from the primary's; it
/// is replaced by the base log in one step. If it were replaced in parts, the
/// member would report a position of mixed terms as one of `log_term`, and a
/// write of that term that it does not hold would count as held.
bool fits(const member_state& it, const pull_request& request,
          const pull_reply& reply)
{
    if (!reply.accepted || reply.term != it.term || request.term != it.term ||
        it.role != core::member_role::replica || it.primary.empty())
        return false;
    if (reply.common > it.log.size())
        return false;
    return it.log_term == it.term ? reply.common == it.log.size()
                                  : reaches_base(reply);
}

}  // namespace
}  // namespace detail

member_state initial_state(std::string name, core::term_number term,
                           core::member_role role, core::time_point now)
{
    member_state it;
    it.name = std::move(name);
    it.term = term;
    it.log_term = term;
    it.role = role;
    it.heard_at = now;
    if (role == core::member_role::primary)
        it.primary = it.name;
    return it;
}

core::member_status status_of(const member_state& it, core::time_point now)
{
    const bool leads = it.role == core::member_role::primary;
    const bool hears =
        !it.primary.empty() && now - it.heard_at < contact_timeout;
    return {it.term, it.log_term, it.log.size(), it.role, leads || hears};
}

bool fence(member_state& it, core::term_number term, const std::string& attempt)
{
    if (term == it.term)
        return !attempt.empty() && attempt == it.attempt;
    if (term < it.term)
        return false;
    detail::enter_term(it, term);
    it.attempt = attempt;
    return true;
}

std::optional<core::log_number> promote(member_state& it,
                                        core::term_number term,
                                        const std::string& attempt)
{
    if (term != it.term || attempt.empty() || attempt != it.attempt)
        return {};
    if (it.role == core::member_role::primary)
        return it.base;
    if (!it.primary.empty())
        return {};
    it.role = core::member_role::primary;
    it.primary = it.name;
    it.log_term = term;
    it.base = it.log.size();
    return it.base;
}

bool follow(member_state& it, core::term_number term,
            const std::string& primary, core::time_point now)
{
    if (term < it.term || primary == it.name)
        return false;
    if (term == it.term && !it.primary.empty())
        return it.primary == primary;
    if (term > it.term)
        detail::enter_term(it, term);
    it.primary = primary;
    it.heard_at = now;
    return true;
}

void notice_term(member_state& it, core::term_number term)
{
    if (term <= it.term || it.role != core::member_role::primary)
        return;
    it.role = core::member_role::replica;
    it.primary.clear();
    it.attempt.clear();
}

bool is_current(const member_state& it)
{
    return it.log_term == it.term && !it.primary.empty();
}

core::log_number append(member_state& it, log_entry entry)
{
    entry.term = it.term;
    detail::apply_entry(it, std::move(entry));
    return it.log.size();
}

pull_request make_pull(const member_state& it, std::chrono::milliseconds lag)
{
    return {it.term, it.log_term, it.spans, lag};
}

pull_reply answer_pull(member_state& it, const pull_request& request,
                       core::time_point now)
{
    notice_term(it, request.term);
    pull_reply r;
    r.term = it.term;
    r.accepted =
        request.term == it.term && it.role == core::member_role::primary;
    if (!r.accepted)
        return r;
    const bool joined = request.log_term == it.term;
    r.base = it.base;
    r.common = detail::common_prefix(it.log, request.spans);
    for (auto p = r.common; p < it.log.size(); ++p)
    {
        const auto& e = it.log[p];
        const bool in_base = !joined && p < it.base;
        if (e.held_since + request.lag > now ||
            (r.entries.size() >= largest_pull && !in_base))
            break;
        r.entries.push_back(e);
    }
    if (!joined && !detail::reaches_base(r))
        r.entries.clear();
    return r;
}

bool has_news(const pull_request& request, const pull_reply& reply)
{
    if (!reply.accepted)
        return true;
    return request.log_term == reply.term ? !reply.entries.empty()
                                          : detail::reaches_base(reply);
}

std::optional<core::time_point> next_due(const member_state& it,
                                         const pull_request& request,
                                         const pull_reply& reply)
{
    const auto sent = reply.common + reply.entries.size();
    const auto next =
        request.log_term == reply.term ? sent + 1 : std::max(sent + 1, it.base);
    if (next > it.log.size())
        return {};
    return it.log[next - 1].held_since + request.lag;
}

bool take_pull(member_state& it, const pull_request& request,
               const pull_reply& reply, core::time_point now)
{
    if (!detail::fits(it, request, reply))
        return false;
    detail::truncate(it, reply.common);
    for (auto e : reply.entries)
    {
        e.held_since = now;
        detail::apply_entry(it, std::move(e));
    }
    it.log_term = it.term;
    it.heard_at = now;
    return true;
}

}  // namespace godwitbarrow::standins
