#include "shutdown.hpp"

#include <algorithm>

namespace godwitbarrow::pooler::detail
{
namespace
{

bool shutdown_lasts(const context& ctx, const caller_session& s,
                    std::chrono::milliseconds limit)
{
    const auto since = shutdown_start(ctx, s);
    return since && ctx.now - *since >= limit;
}

/// Whether the statement may need longer than the host still answers. Until the
/// balancer has noticed the shutdown, statements are accepted nevertheless.
bool may_outlast_shutdown(const context& ctx, const caller_session& s)
{
    const auto end = shutdown_deadline(ctx, s);
    return end && ctx.now + s.active_route.statement_timeout > *end &&
           shutdown_lasts(ctx, s, ctx.pooler.settings.shutdown_notice);
}

}  // namespace

std::optional<core::time_point> shutdown_start(const context& ctx,
                                               const caller_session& s)
{
    const auto& own = ctx.pooler.shutdown_since;
    if (!own || !s.draining_since)
        return own ? own : s.draining_since;
    return std::min(*own, *s.draining_since);
}

std::optional<core::time_point> shutdown_deadline(const context& ctx,
                                                  const caller_session& s)
{
    const auto since = shutdown_start(ctx, s);
    if (!since)
        return std::nullopt;
    return *since + ctx.pooler.settings.shutdown_limit;
}

void limit_to_shutdown(const context& ctx, caller_session& s)
{
    if (const auto end = shutdown_deadline(ctx, s))
        s.current->deadline = std::min(s.current->deadline, *end);
}

bool is_closing(const context& ctx, const caller_session& s)
{
    return shutdown_lasts(ctx, s, ctx.pooler.settings.shutdown_statements);
}

bool begins_transaction(const statement& it)
{
    return it.kind == verb::begin || it.kind == verb::begin_read;
}

bool ends_transactions(const context& ctx, const caller_session& s)
{
    return shutdown_lasts(ctx, s, ctx.pooler.settings.shutdown_transactions);
}

bool comes_too_late(const context& ctx, const caller_session& s,
                    const statement& what)
{
    switch (s.tx.phase)
    {
        case transaction_phase::none:
            return is_closing(ctx, s) || may_outlast_shutdown(ctx, s) ||
                   (begins_transaction(what) && ends_transactions(ctx, s));
        case transaction_phase::failed:
            return false;
        case transaction_phase::open:
            // A commit of a transaction that was busy at the limit may still
            // end it.
            if (what.kind == verb::commit)
                return is_closing(ctx, s) || (ends_transactions(ctx, s) &&
                                              may_outlast_shutdown(ctx, s));
            break;
        case transaction_phase::deferred:
            break;
    }
    return what.kind != verb::rollback && ends_transactions(ctx, s);
}

}  // namespace godwitbarrow::pooler::detail
