#include "godwitbarrow/settings/publish.hpp"

#include <algorithm>
#include <functional>

namespace godwitbarrow::settings
{
namespace detail
{
namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds first_back_off = 500ms;
/// Keeps publishing within seconds of the store's return.
constexpr std::chrono::milliseconds longest_back_off = 5000ms;
/// How often a host without any generation looks for a first one.
constexpr std::chrono::milliseconds poll_interval = 1000ms;

/// One call of `decide`.
struct step_context
{
    publish_state& state;
    core::time_point now;
    std::vector<action> out;
};

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

/// Takes up the next candidate unless one is on its way.
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
    state.effective = {generation, digest};
    if (digest == state.folder.digest)
        state.folder.base = std::max(state.folder.base, generation);
    if (state.fetch && state.fetch->generation <= generation)
        state.fetch.reset();
    in.out.push_back(
        apply{generation, digest, std::move(files), std::move(values)});
}

/// Takes over a generation that another host published.
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

/// The pending content is `generation`, by this host or by another one.
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

/// Why the pending content may not follow the row; nullopt if it may.
std::optional<conflict_cause> find_conflict(const candidate& it,
                                            const settings_row& row)
{
    if (row.generation == 0)
        return std::nullopt;
    if (!it.from_start)
        return row.generation > it.base
                   ? std::optional(conflict_cause::lost_race)
                   : std::nullopt;
    if (is_older_digest(row, it.digest))
        return conflict_cause::stale_folder;
    if (!has_whole_history(row))
        return conflict_cause::age_unknown;
    return std::nullopt;
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
    if (const auto cause = find_conflict(*state.pending, row))
        return settle_conflict(in, *cause);
    state.step = publish_step::putting_object;
    in.out.push_back(put_object{state.pending->digest, state.pending->files});
}

void send_attempt(step_context& in)
{
    in.state.step = publish_step::writing_row;
    in.out.push_back(
        write_row{in.state.attempt->row, in.state.attempt->expected_version});
}

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

void consider_folder(step_context& in, const file_set& files)
{
    auto& state = in.state;
    auto parsed = parse_settings(files);
    if (const auto* faults = std::get_if<std::vector<problem>>(&parsed))
    {
        in.out.push_back(report_rejected{std::nullopt, *faults});
        return;
    }
    candidate it{
        std::make_shared<const file_set>(files),
        std::make_shared<const settings>(std::get<settings>(std::move(parsed))),
        digest(files), state.folder.base, !state.folder.any_candidate};
    state.folder.any_candidate = true;
    state.folder.digest = it.digest;
    if (state.effective.generation == 0)
        in.out.push_back(bootstrap{it.values});
    if (it.digest == state.folder.lost_digest)
        return;
    state.queued = std::move(it);
    if (state.step == publish_step::idle)
        start_next(in);
}

void handle(step_context& in, const folder_scanned& it)
{
    auto& folder = in.state.folder;
    if (folder.last_scan != it.files)
    {
        folder.last_scan = it.files;
        folder.considered = false;
        return;
    }
    if (folder.considered)
        return;
    folder.considered = true;
    consider_folder(in, it.files);
}

void handle(step_context& in, const row_read& it)
{
    if (in.state.step != publish_step::reading_row)
        return;
    if (core::ok(it.row))
        take_row(in, std::get<versioned_row>(it.row));
    else
        wait_and_read_row(in, std::get<core::error>(it.row));
}

void handle(step_context& in, const object_put& it)
{
    auto& state = in.state;
    if (state.step != publish_step::putting_object)
        return;
    if (it.failure)
        return wait_and_read_row(in, *it.failure);
    ++state.attempts;
    const core::attempt_id attempt{state.self.value + "/" + state.incarnation +
                                   "/" + std::to_string(state.attempts)};
    state.attempt = {
        next_row(state.row.row, state.pending->digest, state.self, attempt),
        state.row.version};
    send_attempt(in);
}

void handle(step_context& in, const row_written& it)
{
    auto& state = in.state;
    if (state.step != publish_step::writing_row)
        return;
    if (core::ok(it.version))
    {
        const auto generation = state.attempt->row.generation;
        in.out.push_back(report_published{generation});
        return settle_published(in, generation);
    }
    const auto& reason = std::get<core::error>(it.version);
    if (reason.kind == core::error_kind::conflict)
        ask_for_row(in);
    else
        wait_and_read_row(in, reason);
}

void handle(step_context& in, const object_read& it)
{
    auto& fetch = in.state.fetch;
    if (!fetch || fetch->digest != it.digest)
        return;
    fetch->in_flight = false;
    if (!core::ok(it.files))
        return wait_for_store(in, fetch->wait, std::get<core::error>(it.files));
    const auto& files = std::get<file_set>(it.files);
    if (digest(files) != fetch->digest)
        return wait_for_store(
            in, fetch->wait,
            {core::error_kind::protocol_error,
             "object " + fetch->digest +
                 " of the store has other content than its digest says; "
                 "publish the folder again"});
    take_generation(in, fetch->generation, files);
}

void handle(step_context& in, const newer_generation_learned& it)
{
    take_generation(in, it.generation, it.files);
}

void handle(step_context& in, const tick&)
{
    auto& state = in.state;
    const bool first = state.effective.generation == 0 && !state.fetch &&
                       state.step == publish_step::idle;
    if ((state.step == publish_step::waiting || first) &&
        in.now >= state.wait.retry_at)
        ask_for_row(in);
    if (state.fetch && !state.fetch->in_flight &&
        in.now >= state.fetch->wait.retry_at)
    {
        state.fetch->in_flight = true;
        in.out.push_back(get_object{state.fetch->digest});
    }
}

}  // namespace
}  // namespace detail

std::vector<action> decide(publish_state& state, const event& it,
                           core::time_point now)
{
    detail::step_context in{state, now, {}};
    std::visit([&](const auto& e) { detail::handle(in, e); }, it);
    return std::move(in.out);
}

}  // namespace godwitbarrow::settings
