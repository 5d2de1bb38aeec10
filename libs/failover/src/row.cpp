#include <algorithm>

#include "detail.hpp"

namespace godwitbarrow::failover::detail
{
namespace
{

void back_off(decision_context& context, const core::error& reason)
{
    auto& state = context.state;
    auto& store = state.store;
    store.backoff = std::min(
        std::max(store.backoff * 2, state.limits.initial_store_backoff),
        state.limits.max_store_backoff);
    store.retry_at = context.now + jittered(state, store.backoff);
    emit_progress(context, report_progress::step::waiting_for_store,
                  state.attempt.term, reason.message);
}

void reset_store_backoff(decision_context& context)
{
    context.state.store.backoff = std::chrono::milliseconds::zero();
    context.state.store.retry_at = context.now;
}

bool same_content(const versioned_row& a, const versioned_row& b)
{
    return a.version == b.version && a.row.term == b.row.term &&
           a.row.attempt == b.row.attempt;
}

void record_row_content(decision_context& context, const versioned_row& row)
{
    auto& store = context.state.store;
    if (!store.row || !same_content(*store.row, row))
    {
        store.row_unchanged_since = context.now;
        store.members_in_term = 0;
    }
    store.row = row;
    store.stale = false;
    store.review_at =
        context.now +
        jittered(context.state, context.state.limits.row_review_interval);
    reset_store_backoff(context);
}

void write_took_effect(decision_context& context, store_call call,
                       std::uint64_t version)
{
    auto& state = context.state;
    const auto row = state.store.pending_write;
    record_row_content(context, {row, version});
    if (call == store_call::claiming)
    {
        if (state.current_phase == phase::claiming &&
            state.attempt.id == row.attempt)
            begin_fencing(context);
        return;
    }
    if (state.publication && state.publication->attempt == row.attempt)
        state.publication.reset();
    emit_progress(context, report_progress::step::published, row.term,
                  row.primary->value);
}

/// Whether the row still holds the claim that the publication completes.
bool completes_row(const group_state& state)
{
    const auto& row = state.store.row->row;
    return row.attempt == state.publication->attempt &&
           row.term == state.publication->term && !row.primary;
}

}  // namespace

bool store_ready(const group_state& state, core::time_point now)
{
    return state.store.call == store_call::none && now >= state.store.retry_at;
}

void request_row(decision_context& context)
{
    context.state.store.call = store_call::reading;
    context.out.push_back(read_row{});
}

void write(decision_context& context, store_call call, group_row row)
{
    auto& store = context.state.store;
    store.call = call;
    store.pending_write = row;
    // Until the answer arrives, the store may hold the old or the new row.
    store.stale = true;
    context.out.push_back(write_row{std::move(row), store.row->version});
}

void record_row(decision_context& context, const row_read& result)
{
    auto& store = context.state.store;
    if (store.call != store_call::reading)
        return;
    store.call = store_call::none;
    if (const auto* row = std::get_if<versioned_row>(&result.row))
    {
        record_row_content(context, *row);
        return;
    }
    const auto& ec = std::get<core::error>(result.row);
    if (ec.kind == core::error_kind::not_found)
        record_row_content(context, {});
    else
        back_off(context, ec);
}

void record_write(decision_context& context, const row_written& result)
{
    auto& store = context.state.store;
    const auto call = store.call;
    if (call == store_call::none || call == store_call::reading)
        return;
    store.call = store_call::none;
    if (const auto* version = std::get_if<std::uint64_t>(&result.version))
    {
        write_took_effect(context, call, *version);
        return;
    }
    const auto& ec = std::get<core::error>(result.version);
    if (call == store_call::claiming)
        context.state.attempt.in_doubt =
            context.state.current_phase == phase::claiming;
    if (ec.kind == core::error_kind::conflict)
        reset_store_backoff(context);
    else
        back_off(context, ec);
}

bool row_is_behind(const group_state& state)
{
    if (!state.store.row)
        return false;
    const auto term = state.store.row->row.term;
    if (term < state.view.term)
        return true;
    return std::any_of(
        state.members.begin(), state.members.end(),
        [&](const auto& member)
        { return member.second.status && member.second.status->term > term; });
}

void maintain_row(decision_context& context)
{
    auto& state = context.state;
    auto& store = state.store;
    const bool idle = state.current_phase == phase::steady ||
                      state.current_phase == phase::confirming;
    if (!store_ready(state, context.now) || !idle)
        return;
    const bool behind = row_is_behind(state) && context.now >= store.refresh_at;
    if (state.coordinator && (behind || context.now >= store.review_at))
    {
        store.refresh_at = context.now + state.limits.row_refresh_interval;
        store.stale = true;
    }
    if (store.stale && (state.coordinator || state.publication))
    {
        request_row(context);
        return;
    }
    if (!state.publication)
        return;
    if (completes_row(state))
        write(context, store_call::publishing, *state.publication);
    else
        state.publication.reset();
}

}  // namespace godwitbarrow::failover::detail
