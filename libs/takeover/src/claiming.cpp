#include "claiming.hpp"

#include <algorithm>

#include "fencing.hpp"
#include "restoring.hpp"
#include "resuming.hpp"
#include "settling.hpp"

namespace godwitbarrow::takeover::detail
{
namespace
{

using namespace std::chrono_literals;

/// Whether the time lies at most `limit` before `now`, both on the clock of the
/// store. A later time is of a clock that has started anew since.
bool is_recent(std::chrono::milliseconds at, std::chrono::milliseconds now,
               std::chrono::milliseconds limit)
{
    return at <= now && now - at <= limit;
}

struct vote_count
{
    std::size_t hosts = 1;
    /// Total time for which these hosts have been without the primary.
    std::chrono::milliseconds downtime{0};
};

/// Counts this host and the unexpired votes of other hosts.
vote_count count_votes(const context& ctx, const rows_read& rows)
{
    vote_count out;
    out.downtime = ctx.state.view.unreachable_for;
    for (const auto& [host, v] : rows.votes)
    {
        const bool fresh =
            is_recent(v.renewed_at, rows.store_time, ctx.settings.vote_ttl);
        if (!fresh || host == ctx.settings.self ||
            v.suspect != suspected_primary(ctx.state))
            continue;
        ++out.hosts;
        out.downtime += rows.store_time - v.unreachable_since;
    }
    return out;
}

/// Returns whether half of the live hosts have lost the primary and a promotion
/// costs all hosts less downtime than waiting, or this host has suspected the
/// primary for `solo_claim_delay`.
bool may_claim(const context& ctx, const rows_read& rows)
{
    const auto votes = count_votes(ctx, rows);
    const auto live = ctx.state.view.live_hosts;
    const auto cost = ctx.settings.promotion_cost *
                      static_cast<std::chrono::milliseconds::rep>(live);
    if (2 * votes.hosts >= live && votes.downtime >= cost)
        return true;
    return ctx.state.suspected_since && ctx.now - *ctx.state.suspected_since >=
                                            ctx.settings.solo_claim_delay;
}

void cast_vote(context& ctx, const rows_read& rows)
{
    const auto own = rows.votes.find(ctx.settings.self);
    const bool renewed = own != rows.votes.end() &&
                         own->second.suspect == suspected_primary(ctx.state) &&
                         is_recent(own->second.renewed_at, rows.store_time,
                                   ctx.settings.vote_renewal_interval - 1ms);
    if (renewed)
        return pause_for(ctx, ctx.settings.retry_delay);
    enter_phase(ctx, phase::voting);
    ctx.out.push_back(write_vote{
        {suspected_primary(ctx.state),
         std::max(rows.store_time - ctx.state.view.unreachable_for, 0ms),
         rows.store_time}});
}

/// Whether the last claim was made so recently that it may be acted on.
bool is_claim_recent(const context& ctx, const rows_read& rows)
{
    const auto last = rows.last_claim.value_or(claim{});
    return last.token > 0 &&
           is_recent(last.claimed_at, rows.store_time, ctx.settings.claim_ttl);
}

/// Whether the comparison may begin, or begin anew, under the last claim. Once
/// an order under it was accepted, the next one needs a higher token.
bool holds_claim(const context& ctx, const rows_read& rows)
{
    return is_claim_recent(ctx, rows) && is_own_claim(ctx, *rows.last_claim) &&
           !ctx.state.order_accepted && !ctx.state.claim_spent;
}

bool needs_votes(const takeover_state& state)
{
    return !state.view.leaving && !state.primary_stepped_down;
}

}  // namespace

bool is_own_claim(const context& ctx, const claim& row)
{
    return row.holder == ctx.settings.self && row.token == ctx.state.token &&
           row.era == ctx.state.store_era;
}

bool is_claimed_by_other(const context& ctx, const rows_read& rows)
{
    return is_claim_recent(ctx, rows) &&
           rows.last_claim->holder != ctx.settings.self;
}

void start_reading_rows(context& ctx)
{
    enter_phase(ctx, phase::reading);
    ctx.out.push_back(read_rows{});
}

void handle_rows(context& ctx, const rows_read& rows)
{
    auto& state = ctx.state;
    if (state.current_phase != phase::reading)
        return;
    // The store was restored since the rows were read.
    if (rows.era < state.store_era)
        return pause_for(ctx, ctx.settings.retry_delay);
    note_token(ctx, rows.last_claim.value_or(claim{}).token);
    if (state.kept)
        return handle_rows_for_kept(ctx, rows);
    if (holds_claim(ctx, rows))
    {
        state.own_claim_version = rows.version;
        return begin_comparison(ctx);
    }
    if (is_claimed_by_other(ctx, rows))
        return pause_for(ctx, ctx.settings.retry_delay);
    const bool waits = awaits_lost_claims(ctx);
    if (needs_votes(state) && (waits || !may_claim(ctx, rows)))
        return cast_vote(ctx, rows);
    if (waits)
        return pause_for(ctx, ctx.settings.retry_delay);
    write_next_claim(ctx, rows, suspected_primary(state));
}

void write_next_claim(context& ctx, const rows_read& rows,
                      const core::server_id& replaced)
{
    auto& state = ctx.state;
    const auto token = next_token(ctx, rows);
    if (!token)
    {
        report_step(ctx, "no fencing token left", suspected_primary(state),
                    "era " + std::to_string(rows.era) + " row version " +
                        std::to_string(rows.version));
        return pause_for(ctx, ctx.settings.claim_ttl);
    }
    auto next = rows.last_claim.value_or(claim{});
    // The host may have asked for them itself, before it was restarted.
    if (next.replicas_paused)
        expect_all_paused(state);
    next.token = *token;
    next.era = rows.era;
    next.holder = ctx.settings.self;
    next.replaced = replaced;
    next.claimed_at = rows.store_time;
    next.replicas_paused = next.replicas_paused ||
                           state.view.synchronous_replicas > 0 ||
                           state.unfinished.has_value();
    next.settled = {};
    state.token = next.token;
    state.claim_era = next.era;
    if (state.replaced != next.replaced)
        state.unanswered_primary_queries = 0;
    state.replaced = next.replaced;
    state.revoked_at.reset();
    state.claimed_at = state.phase_entered_at;
    state.refused_targets.clear();
    state.promotion_attempts = 0;
    state.earlier_orders_void = is_settled(rows);
    state.ordered = {};
    state.order_accepted = false;
    state.claim_spent = false;
    state.own_claim = next;
    enter_phase(ctx, phase::claiming);
    ctx.out.push_back(write_claim{std::move(next), rows.version});
}

void handle_write_result(context& ctx, const row_written& input)
{
    auto& state = ctx.state;
    if (state.current_phase == phase::voting)
        return pause_for(ctx, ctx.settings.retry_delay);
    if (state.current_phase != phase::claiming)
        return;
    // If the answer was lost, the claim may have been stored; the next read
    // shows it.
    if (input.result != write_result::done)
        return pause_for(ctx, ctx.settings.retry_delay);
    state.own_claim_version = input.version;
    note_token(ctx, state.token);
    announce_use(ctx, state.own_claim);
    report_step(ctx, state.kept ? "primary claimed" : "takeover claimed",
                suspected_primary(state),
                "token " + std::to_string(state.token));
    if (state.kept)
        return begin_keeping(ctx);
    begin_comparison(ctx);
}

void handle_observed_claim(context& ctx, const claim_observed& input)
{
    note_pauses(ctx, input);
    // A store that was restored may return a claim of before.
    if (input.row.token < ctx.state.highest_token)
        return;
    note_token(ctx, input.row.token);
    announce_use(ctx, input.row);
    if (!revokes_primary(ctx) || input.row.replaced.value.empty() ||
        input.age >= ctx.settings.claim_ttl)
        return;
    ctx.out.push_back(revoke_primary{input.row.replaced, input.row.token});
    // Hosts that do not reach the store may still use the primary. The holder
    // of the claim asks a leaving primary itself.
    const auto& view = ctx.state.view;
    if (input.row.holder == ctx.settings.self || view.leaving ||
        view.unreachable || view.primary != input.row.replaced)
        return;
    ctx.out.push_back(ask_member{input.row.replaced, std::nullopt,
                                 view.newest_term + 1, false});
}

}  // namespace godwitbarrow::takeover::detail
