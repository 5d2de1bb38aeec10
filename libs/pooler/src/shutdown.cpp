#include "shutdown.hpp"

namespace godwitbarrow::pooler::detail
{
namespace
{

bool shutdown_lasts(const context& ctx, std::chrono::milliseconds limit)
{
    const auto& since = ctx.pooler.shutdown_since;
    return since && ctx.now - *since >= limit;
}

/// Whether no statement is accepted any more.
bool is_closing(const context& ctx)
{
    return shutdown_lasts(ctx, ctx.pooler.settings.shutdown_statements);
}

bool begins_transaction(const statement& it)
{
    return it.kind == verb::begin || it.kind == verb::begin_read;
}

}  // namespace

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
            return is_closing(ctx) ||
                   (begins_transaction(what) && ends_transactions(ctx));
        case transaction_phase::failed:
            return false;
        case transaction_phase::open:
            // A commit of a transaction that was busy at the limit may still
            // end it.
            if (what.kind == verb::commit)
                return is_closing(ctx);
            break;
        case transaction_phase::deferred:
            break;
    }
    return what.kind != verb::rollback && ends_transactions(ctx);
}

}  // namespace godwitbarrow::pooler::detail
