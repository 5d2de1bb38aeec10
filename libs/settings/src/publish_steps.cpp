#include "publish_steps.hpp"

#include <algorithm>
#include <functional>

#include "godwitbarrow/settings/change.hpp"

namespace godwitbarrow::settings::detail
{

using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds first_back_off = 500ms;
/// Keeps publishing within seconds of the store's return.
constexpr std::chrono::milliseconds longest_back_off = 5000ms;
/// How often a host without any generation looks for a first one.
constexpr std::chrono::milliseconds poll_interval = 1000ms;

/// Between half and all of the doubling delay, different for each host.
std::chrono::milliseconds back_off_delay(const core::host_id& self,
                                         std::uint32_t failures)
{
    constexpr std::uint32_t most_doublings = 10;
    const auto whole =
        std::min(longest_back_off,
                 first_back_off * (1 << std::min(failures, most_doublings)));
    const auto spread =
        std::hash<std::string>{}(self.value + std::to_string(failures)) % 500;
    return whole / 2 + whole * static_cast<std::int64_t>(spread) / 1000;
}

}  // namespace

void wait_for_store(step_context& in, back_off& wait, const core::error& reason)
{
    wait.retry_at = in.now + back_off_delay(in.state.self, wait.failures);
    ++wait.failures;
    in.out.push_back(report_waiting{reason, wait.retry_at, wait.failures});
}

void ask_for_row(step_context& in)
{
    in.state.step = publish_step::reading_row;
    in.out.push_back(read_row{});
}

void start_next(step_context& in)
{
    auto& state = in.state;
    state.step = publish_step::idle;
    if (!state.queued)
        return;
    state.pending = std::move(state.queued);
    state.queued.reset();
    if (state.pending->digest == state.effective.digest)
    {
        state.folder.base =
            std::max(state.folder.base, state.effective.generation);
        state.pending.reset();
        return;
    }
    ask_for_row(in);
}

namespace
{

void finish_pending(step_context& in)
{
    in.state.pending.reset();
    in.state.attempt.reset();
    start_next(in);
}

void put_in_effect(step_context& in, generation_number generation,
                   const std::string& digest,
                   std::shared_ptr<const file_set> files,
                   std::shared_ptr<const settings> values)
{
    auto& state = in.state;
    if (generation <= state.effective.generation)
        return;
    state.effective = {generation, digest, values};
    if (digest == state.folder.digest)
        state.folder.base = std::max(state.folder.base, generation);
    if (state.fetch && state.fetch->generation <= generation)
        state.fetch.reset();
    in.out.push_back(
        apply{generation, digest, std::move(files), std::move(values)});
}

}  // namespace

void take_generation(step_context& in, generation_number generation,
                     const file_set& files)
{
    auto& state = in.state;
    if (generation <= std::max(state.effective.generation, state.refused))
        return;
    auto parsed = parse_settings(files);
    if (const auto* faults = std::get_if<std::vector<problem>>(&parsed))
    {
        state.refused = generation;
        state.fetch.reset();
        in.out.push_back(report_rejected{generation, *faults});
        return;
    }
    put_in_effect(in, generation, digest(files),
                  std::make_shared<const file_set>(files),
                  std::make_shared<const settings>(
                      std::get<settings>(std::move(parsed))));
}

void settle_published(step_context& in, generation_number generation)
{
    auto& state = in.state;
    state.folder.base = std::max(state.folder.base, generation);
    state.folder.lost_digest.clear();
    if (state.queued)
        state.queued->base = std::max(state.queued->base, generation);
    put_in_effect(in, generation, state.pending->digest, state.pending->files,
                  state.pending->values);
    finish_pending(in);
}

namespace
{

void settle_conflict(step_context& in, conflict_cause cause)
{
    auto& state = in.state;
    const auto& row = state.row.row;
    state.folder.base = std::max(state.folder.base, row.generation);
    state.folder.lost_digest = state.pending->digest;
    in.out.push_back(report_conflict{cause, row.generation, row.publisher});
    finish_pending(in);
}

/// Fetches a newer generation, unless its content is the pending one.
void fetch_newer(step_context& in, const settings_row& row)
{
    auto& state = in.state;
    const auto known = std::max(state.effective.generation, state.refused);
    const auto digest = current_digest(row);
    if (row.generation <= known ||
        (state.fetch && state.fetch->generation >= row.generation) ||
        (state.pending && state.pending->digest == digest))
        return;
    state.fetch = fetch_state{row.generation, digest, true, {}};
    in.out.push_back(get_object{digest});
}

/// The row to build on. If the table lost its row, numbering goes on from the
/// generation in effect, because hosts never apply a lower one.
versioned_row row_to_build_on(const publish_state& state, versioned_row row)
{
    if (row.row.generation < state.effective.generation)
    {
        row.row.generation = state.effective.generation;
        row.row.publisher = state.self;
        row.row.digests = {state.effective.digest};
    }
    return row;
}

/// Whether the pending content may not follow the row; `cause` says why.
bool is_conflict(const candidate& it, const settings_row& row,
                 conflict_cause& cause)
{
    if (row.generation == 0)
        return false;
    if (!it.from_start)
    {
        cause = conflict_cause::lost_race;
        return row.generation > it.base;
    }
    const bool older = is_older_digest(row, it.digest);
    cause = older ? conflict_cause::stale_folder : conflict_cause::age_unknown;
    return older || !has_whole_history(row);
}

/// The change is judged when the generation before it is known here.
void wait_for_fetch(step_context& in)
{
    in.state.step = publish_step::waiting;
    in.state.wait.retry_at = in.now + first_back_off;
}

/// Rejects a content that may not follow the generation in effect.
bool reject_change(step_context& in)
{
    auto& state = in.state;
    if (!state.effective.values)
        return false;
    auto faults = check_change(*state.effective.values, *state.pending->values);
    if (faults.empty())
        return false;
    in.out.push_back(report_rejected{std::nullopt, std::move(faults)});
    finish_pending(in);
    return true;
}

void judge_pending(step_context& in)
{
    auto& state = in.state;
    const auto& row = state.row.row;
    if (state.queued)
    {
        state.pending = std::move(state.queued);
        state.queued.reset();
    }
    if (current_digest(row) == state.pending->digest)
        return settle_published(in, row.generation);
    auto cause = conflict_cause::lost_race;
    if (is_conflict(*state.pending, row, cause))
        return settle_conflict(in, cause);
    if (state.fetch)
        return wait_for_fetch(in);
    if (reject_change(in))
        return;
    state.step = publish_step::putting_object;
    in.out.push_back(put_object{state.pending->digest, state.pending->files});
}

}  // namespace

void send_attempt(step_context& in)
{
    in.state.step = publish_step::writing_row;
    in.out.push_back(
        write_row{in.state.attempt->row, in.state.attempt->expected_version});
}

namespace
{

/// Finds the outcome of a write from the row. True if it is found and the
/// write did not win.
bool is_attempt_lost(step_context& in, const versioned_row& found)
{
    auto& state = in.state;
    const auto generation = state.attempt->row.generation;
    if (digest_of(found.row, generation) == state.pending->digest)
    {
        if (found.row.generation > generation ||
            found.row.attempt == state.attempt->row.attempt)
            in.out.push_back(report_published{generation});
        settle_published(in, generation);
        return false;
    }
    if (found.version == state.attempt->expected_version)
    {
        // The write may still be under way; the same attempt is sent again, so
        // that at most one of the two takes effect and either one counts.
        send_attempt(in);
        return false;
    }
    state.attempt.reset();
    return true;
}

}  // namespace

void take_row(step_context& in, const versioned_row& found)
{
    auto& state = in.state;
    state.wait.failures = 0;
    state.step = publish_step::idle;
    fetch_newer(in, found.row);
    if (state.attempt && !is_attempt_lost(in, found))
        return;
    state.row = row_to_build_on(state, found);
    if (state.pending)
        return judge_pending(in);
    state.wait.retry_at = in.now + poll_interval;
    start_next(in);
}

void wait_and_read_row(step_context& in, const core::error& reason)
{
    in.state.step = publish_step::waiting;
    wait_for_store(in, in.state.wait, reason);
}

}  // namespace godwitbarrow::settings::detail
