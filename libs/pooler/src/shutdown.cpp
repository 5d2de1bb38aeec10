#include "shutdown.hpp"

#include <algorithm>

namespace godwitbarrow::pooler::detail
{
namespace
{

bool shutdown_lasts(const context& ctx, std::chrono::milliseconds limit)
{
    const auto& since = ctx.pooler.shutdown_since;
    return since && ctx.now - *since >= limit;
}

/// Whether the statement may need longer than the host still answers. Until the
/// balancer has noticed the shutdown, statements are accepted nevertheless.
bool may_outlast_shutdown(const context& ctx, const caller_session& s)
{
    const auto end = shutdown_deadline(ctx);
    return end && ctx.now + s.active_route.statement_timeout > *end &&
           shutdown_lasts(ctx, ctx.pooler.settings.shutdown_notice);
}

}  // namespace

std::optional<core::time_point> shutdown_deadline(const context& ctx)
{
    const auto& since = ctx.pooler.shutdown_since;
    if (!since)
        return std::nullopt;
    return *since + ctx.pooler.settings.shutdown_limit;
}

void limit_to_shutdown(const context& ctx, pending_statement& what)
{
    if (const auto end = shutdown_deadline(ctx))
        what.deadline = std::min(what.deadline, *end);
}

bool is_closing(const context& ctx)
{
    return shutdown_lasts(ctx, ctx.pooler.settings.shutdown_statements);
}

bool begins_transaction(const statement& it)
{
    return it.kind == verb::begin || it.kind == verb::begin_read;
}

bool ends_transactions(const context& ctx)
{
    return shutdown_lasts(ctx, ctx.pooler.settings.shutdown_transactions);
}

bool comes_too_late(const context& ctx, const caller_session& s,
                    const statement& what)
{
    switch (s.tx.phase)
    {
        case transaction_phase::none:
            return is_closing(ctx) || may_outlast_shutdown(ctx, s) ||
                   (begins_transaction(what) && ends_transactions(ctx));
        case transaction_phase::failed:
            return false;
        case transaction_phase::open:
            // A commit of a transaction that was busy at the limit may still
            // end it.
            if (what.kind == verb::commit)
                return is_closing(ctx) ||
                       (ends_transactions(ctx) && may_outlast_shutdown(ctx, s));
            break;
        case transaction_phase::deferred:
            break;
    }
    return what.kind != verb::rollback && ends_transactions(ctx);
}

}  // namespace godwitbarrow::pooler::detail
