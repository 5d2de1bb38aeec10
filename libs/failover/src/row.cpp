#include <algorithm>

#include "detail.hpp"

namespace godwitbarrow::failover::detail
{
namespace
{

void back_off(step& at, const core::error& reason)
{
    auto& state = at.state;
    auto& store = state.store;
    store.pause =
        std::min(std::max(store.pause * 2, state.limits.store_retry_first),
                 state.limits.store_retry_longest);
    store.retry_at = at.now + jittered(state, store.pause);
    note(at, report_progress::step::waiting_for_store, state.attempt.term,
         reason.message);
}

void store_answered(step& at)
{
    at.state.store.pause = std::chrono::milliseconds::zero();
    at.state.store.retry_at = at.now;
}

bool same_content(const versioned_row& a, const versioned_row& b)
{
    return a.version == b.version && a.row.term == b.row.term &&
           a.row.attempt == b.row.attempt;
}

void take_row(step& at, const versioned_row& row)
{
    auto& store = at.state.store;
    if (!store.row || !same_content(*store.row, row))
    {
        store.row_since = at.now;
        store.members_in_term = 0;
    }
    store.row = row;
    store.stale = false;
    store.review_at = at.now + jittered(at.state, at.state.limits.row_review);
    store_answered(at);
}

void write_took_effect(step& at, store_call call, std::uint64_t version)
{
    auto& state = at.state;
    const auto row = state.store.written;
    take_row(at, {row, version});
    if (call == store_call::claiming)
    {
        if (state.current_phase == phase::claiming &&
            state.attempt.id == row.attempt)
            begin_fencing(at);
        return;
    }
    if (state.publication && state.publication->attempt == row.attempt)
        state.publication.reset();
    note(at, report_progress::step::published, row.term, row.primary->value);
}

/// Whether the row still shows the claim that the publication completes.
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

void request_row(step& at)
{
    at.state.store.call = store_call::reading;
    at.out.push_back(read_row{});
}

void write(step& at, store_call call, group_row row)
{
    auto& store = at.state.store;
    store.call = call;
    store.written = row;
    // Until the answer arrives the row may be the old or the new one.
    store.stale = true;
    at.out.push_back(write_row{std::move(row), store.row->version});
}

void record_row(step& at, const row_read& it)
{
    auto& store = at.state.store;
    if (store.call != store_call::reading)
        return;
    store.call = store_call::none;
    if (const auto* row = std::get_if<versioned_row>(&it.row))
    {
        take_row(at, *row);
        return;
    }
    const auto& ec = std::get<core::error>(it.row);
    if (ec.kind == core::error_kind::not_found)
        take_row(at, {});
    else
        back_off(at, ec);
}

void record_write(step& at, const row_written& it)
{
    auto& store = at.state.store;
    const auto call = store.call;
    if (call == store_call::none || call == store_call::reading)
        return;
    store.call = store_call::none;
    if (const auto* version = std::get_if<std::uint64_t>(&it.version))
    {
        write_took_effect(at, call, *version);
        return;
    }
    const auto& ec = std::get<core::error>(it.version);
    if (call == store_call::claiming)
        at.state.attempt.in_doubt = at.state.current_phase == phase::claiming;
    if (ec.kind == core::error_kind::conflict)
        store_answered(at);
    else
        back_off(at, ec);
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
        [&](const auto& it)
        { return it.second.status && it.second.status->term > term; });
}

void keep_row(step& at)
{
    auto& state = at.state;
    auto& store = state.store;
    const bool idle = state.current_phase == phase::steady ||
                      state.current_phase == phase::confirming;
    if (!store_ready(state, at.now) || !idle)
        return;
    const bool behind = row_is_behind(state) && at.now >= store.refresh_at;
    if (state.coordinator && (behind || at.now >= store.review_at))
    {
        store.refresh_at = at.now + state.limits.row_refresh;
        store.stale = true;
    }
    if (store.stale && (state.coordinator || state.publication))
    {
        request_row(at);
        return;
    }
    if (!state.publication)
        return;
    if (completes_row(state))
        write(at, store_call::publishing, *state.publication);
    else
        state.publication.reset();
}

}  // namespace godwitbarrow::failover::detail
