#include "quotas.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "placement.hpp"

namespace godwitbarrow::pooler::detail
{
namespace
{

bool has_quota(const state& all, const core::workspace_id& workspace)
{
    if (!all.settings.limits_workspaces)
        return false;
    const auto& quotas = all.active_configuration.workspaces.quotas;
    const auto it = quotas.find(workspace);
    return it != quotas.end() && it->second.has_value();
}

void refuse_over_quota(context& ctx, session_number number,
                       core::duration retry_after)
{
    const auto& workspace = ctx.pooler.sessions.at(number).workspace;
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(retry_after);
    fail_statement(ctx, number, failure_code::over_quota,
                   "the quota of the workspace " + workspace.value +
                       " is reached; retry after " +
                       std::to_string(wait.count()) + " ms");
}

/// Asks the lender for as many operations as statements wait, unless an answer
/// is due.
void ask_lender(context& ctx, const core::workspace_id& workspace)
{
    auto& b = ctx.pooler.borrowings.at(workspace);
    if (b.asked || b.waiting.empty())
        return;
    b.asked = ctx.now;
    b.wanted = static_cast<std::uint32_t>(b.waiting.size());
    ctx.out.push_back(borrow_operations{workspace, ++b.round, b.wanted});
}

session_number take_first(context& ctx, borrowing& from)
{
    const auto number = from.waiting.front();
    from.waiting.pop_front();
    ctx.pooler.sessions.at(number).current->awaits_quota = false;
    return number;
}

void refuse_waiting(context& ctx, const core::workspace_id& workspace)
{
    auto& b = ctx.pooler.borrowings.at(workspace);
    // The next statement of a refused session is refused at once.
    while (!b.waiting.empty())
        refuse_over_quota(ctx, take_first(ctx, b), b.exhausted_until - ctx.now);
}

/// Refuses a statement whose lender did not answer in time.
void refuse_unanswered(context& ctx, session_number number)
{
    stop_waiting_for_quota(ctx, number);
    fail_statement(ctx, number, failure_code::over_quota,
                   "the lender of the quota did not answer; retry");
}

}  // namespace

void start_operation(context& ctx, session_number number)
{
    auto& s = ctx.pooler.sessions.at(number);
    if (!has_quota(ctx.pooler, s.workspace))
        return queue_statement(ctx, number);
    auto& b = ctx.pooler.borrowings[s.workspace];
    if (ctx.now < b.exhausted_until)
        return refuse_over_quota(ctx, number, b.exhausted_until - ctx.now);
    s.current->awaits_quota = true;
    b.waiting.push_back(number);
    ask_lender(ctx, s.workspace);
}

void handle_lent(context& ctx, const operations_lent& what)
{
    const auto it = ctx.pooler.borrowings.find(what.workspace);
    if (it == ctx.pooler.borrowings.end())
        return;
    auto& b = it->second;
    // The answer to a request that was given up: what it lent has ended.
    const auto& limit = ctx.pooler.settings.lender_timeout;
    if (!b.asked || what.round != b.round || ctx.now - *b.asked >= limit)
        return;
    b.asked.reset();
    const bool exhausted = what.count < b.wanted;
    for (auto left = what.count; left > 0 && !b.waiting.empty(); --left)
        queue_statement(ctx, take_first(ctx, b));
    if (exhausted)
    {
        b.exhausted_until = ctx.now + what.retry_after;
        refuse_waiting(ctx, what.workspace);
    }
    ask_lender(ctx, what.workspace);
}

void stop_waiting_for_quota(context& ctx, session_number number)
{
    auto& s = ctx.pooler.sessions.at(number);
    s.current->awaits_quota = false;
    auto& all = ctx.pooler.borrowings.at(s.workspace).waiting;
    all.erase(std::remove(all.begin(), all.end(), number), all.end());
}

void expire_borrowing(context& ctx)
{
    const auto& settings = ctx.pooler.settings;
    std::vector<session_number> late;
    for (auto& [workspace, b] : ctx.pooler.borrowings)
    {
        if (b.asked && ctx.now - *b.asked >= settings.lender_timeout)
            b.asked.reset();
        for (const auto number : b.waiting)
        {
            const auto& p = *ctx.pooler.sessions.at(number).current;
            if (ctx.now - p.arrived >= settings.quota_wait ||
                ctx.now >= p.deadline)
                late.push_back(number);
        }
    }
    for (const auto number : late)
        refuse_unanswered(ctx, number);
    for (const auto& it : ctx.pooler.borrowings)
        ask_lender(ctx, it.first);
}

}  // namespace godwitbarrow::pooler::detail
