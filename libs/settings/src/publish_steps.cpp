#include "publish_steps.hpp"

#include <algorithm>
#include <functional>

#include "godwitbarrow/settings/change.hpp"

namespace godwitbarrow::settings::detail
{

using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds initial_back_off = 500ms;
/// Bounds the time from the recovery of the store to the next attempt, so that
/// publishing resumes within seconds.
constexpr std::chrono::milliseconds max_back_off = 5000ms;
/// Interval at which a host without any generation polls for the first one.
constexpr std::chrono::milliseconds poll_interval = 1000ms;

/// Exponential delay with jitter: between half and all of the doubled delay,
/// different for each host.
std::chrono::milliseconds back_off_delay(const core::host_id& self,
                                         std::uint32_t failures)
{
    constexpr std::uint32_t max_doublings = 10;
    const auto delay =
        std::min(max_back_off,
                 initial_back_off * (1 << std::min(failures, max_doublings)));
    const auto jitter =
        std::hash<std::string>{}(self.value + std::to_string(failures)) % 500;
    return delay / 2 + delay * static_cast<std::int64_t>(jitter) / 1000;
}

}  // namespace

void schedule_retry(step_context& context, back_off& retry,
                    const core::error& reason)
{
    retry.retry_at =
        context.now + back_off_delay(context.state.self, retry.failures);
    ++retry.failures;
    context.out.push_back(
        report_store_failure{reason, retry.retry_at, retry.failures});
}

void request_row(step_context& context)
{
    context.state.step = publish_step::reading_row;
    context.out.push_back(read_row{});
}

void start_next(step_context& context)
{
    auto& state = context.state;
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
    request_row(context);
}

namespace
{

void finish_pending(step_context& context)
{
    context.state.pending.reset();
    context.state.attempt.reset();
    start_next(context);
}

void activate_generation(step_context& context, generation_number generation,
                         const std::string& digest,
                         std::shared_ptr<const file_set> files,
                         std::shared_ptr<const settings> values)
{
    auto& state = context.state;
    if (generation <= state.effective.generation)
        return;
    state.effective = {generation, digest, values};
    if (digest == state.folder.digest)
        state.folder.base = std::max(state.folder.base, generation);
    if (state.fetch && state.fetch->generation <= generation)
        state.fetch.reset();
    context.out.push_back(
        apply{generation, digest, std::move(files), std::move(values)});
}

}  // namespace

void accept_generation(step_context& context, generation_number generation,
                       const file_set& files)
{
    auto& state = context.state;
    if (generation <=
        std::max(state.effective.generation, state.rejected_generation))
        return;
    auto parsed = parse_settings(files);
    if (const auto* problems = std::get_if<std::vector<problem>>(&parsed))
    {
        state.rejected_generation = generation;
        state.fetch.reset();
        context.out.push_back(report_rejected{generation, *problems});
        return;
    }
    activate_generation(context, generation, digest(files),
                        std::make_shared<const file_set>(files),
                        std::make_shared<const settings>(
                            std::get<settings>(std::move(parsed))));
}

void complete_publication(step_context& context, generation_number generation)
{
    auto& state = context.state;
    state.folder.base = std::max(state.folder.base, generation);
    state.folder.conflict_digest.clear();
    if (state.queued)
        state.queued->base = std::max(state.queued->base, generation);
    activate_generation(context, generation, state.pending->digest,
                        state.pending->files, state.pending->values);
    finish_pending(context);
}

namespace
{

void complete_with_conflict(step_context& context, conflict_cause cause)
{
    auto& state = context.state;
    const auto& row = state.row.row;
    state.folder.base = std::max(state.folder.base, row.generation);
    state.folder.conflict_digest = state.pending->digest;
    context.out.push_back(
        report_conflict{cause, row.generation, row.publisher});
    finish_pending(context);
}

/// Fetches a newer generation, unless its contents are the pending ones.
void fetch_newer(step_context& context, const settings_row& row)
{
    auto& state = context.state;
    const auto known =
        std::max(state.effective.generation, state.rejected_generation);
    const auto digest = current_digest(row);
    if (row.generation <= known ||
        (state.fetch && state.fetch->generation >= row.generation) ||
        (state.pending && state.pending->digest == digest))
        return;
    state.fetch = fetch_state{row.generation, digest, true, {}};
    context.out.push_back(get_object{digest});
}

/// The row that the next generation is based on. If the table lost its row,
/// numbering continues from the generation in effect, because hosts never apply
/// a lower one.
versioned_row base_row(const publish_state& state, versioned_row row)
{
    if (row.row.generation < state.effective.generation)
    {
        row.row.generation = state.effective.generation;
        row.row.publisher = state.self;
        row.row.digests = {state.effective.digest};
    }
    return row;
}

/// Whether the pending contents must not follow the row; `cause` gives the
/// reason.
bool is_conflict(const candidate& pending, const settings_row& row,
                 conflict_cause& cause)
{
    if (row.generation == 0)
        return false;
    if (!pending.from_start)
    {
        cause = conflict_cause::lost_race;
        return row.generation > pending.base;
    }
    const bool older = is_older_digest(row, pending.digest);
    cause = older ? conflict_cause::stale_folder : conflict_cause::age_unknown;
    return older || !has_complete_history(row);
}

/// Defers the check of the change until the preceding generation is known on
/// this host.
void wait_for_fetch(step_context& context)
{
    context.state.step = publish_step::waiting;
    context.state.retry.retry_at = context.now + initial_back_off;
}

/// Rejects contents that must not follow the generation in effect. Returns
/// whether they were rejected.
bool reject_change(step_context& context)
{
    auto& state = context.state;
    if (!state.effective.values)
        return false;
    auto problems =
        check_change(*state.effective.values, *state.pending->values);
    if (problems.empty())
        return false;
    context.out.push_back(report_rejected{std::nullopt, std::move(problems)});
    finish_pending(context);
    return true;
}

void evaluate_pending(step_context& context)
{
    auto& state = context.state;
    const auto& row = state.row.row;
    if (state.queued)
    {
        state.pending = std::move(state.queued);
        state.queued.reset();
    }
    if (current_digest(row) == state.pending->digest)
        return complete_publication(context, row.generation);
    auto cause = conflict_cause::lost_race;
    if (is_conflict(*state.pending, row, cause))
        return complete_with_conflict(context, cause);
    if (state.fetch)
        return wait_for_fetch(context);
    if (reject_change(context))
        return;
    state.step = publish_step::putting_object;
    context.out.push_back(
        put_object{state.pending->digest, state.pending->files});
}

}  // namespace

void send_attempt(step_context& context)
{
    context.state.step = publish_step::writing_row;
    context.out.push_back(write_row{context.state.attempt->row,
                                    context.state.attempt->expected_version});
}

namespace
{

/// Determines the outcome of a write from the row. Returns true if the outcome
/// is known and the write did not take effect.
bool resolve_attempt(step_context& context, const versioned_row& found)
{
    auto& state = context.state;
    const auto generation = state.attempt->row.generation;
    if (digest_of(found.row, generation) == state.pending->digest)
    {
        if (found.row.generation > generation ||
            found.row.attempt == state.attempt->row.attempt)
            context.out.push_back(report_published{generation});
        complete_publication(context, generation);
        return false;
    }
    if (found.version == state.attempt->expected_version)
    {
        // The write may still be in flight. The same attempt is sent again, so
        // that at most one of the two takes effect and either one counts.
        send_attempt(context);
        return false;
    }
    state.attempt.reset();
    return true;
}

}  // namespace

void process_row(step_context& context, const versioned_row& found)
{
    auto& state = context.state;
    state.retry.failures = 0;
    state.step = publish_step::idle;
    fetch_newer(context, found.row);
    if (state.attempt && !resolve_attempt(context, found))
        return;
    state.row = base_row(state, found);
    if (state.pending)
        return evaluate_pending(context);
    state.retry.retry_at = context.now + poll_interval;
    start_next(context);
}

void retry_row_read(step_context& context, const core::error& reason)
{
    context.state.step = publish_step::waiting;
    schedule_retry(context, context.state.retry, reason);
}

}  // namespace godwitbarrow::settings::detail
