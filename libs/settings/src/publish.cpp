#include "godwitbarrow/settings/publish.hpp"

#include "publish_steps.hpp"

namespace godwitbarrow::settings
{
namespace detail
{
namespace
{

void evaluate_folder(step_context& in, const file_set& files)
{
    auto& state = in.state;
    auto parsed = parse_settings(files);
    if (const auto* problems = std::get_if<std::vector<problem>>(&parsed))
    {
        in.out.push_back(report_rejected{std::nullopt, *problems});
        return;
    }
    candidate it{
        std::make_shared<const file_set>(files),
        std::make_shared<const settings>(std::get<settings>(std::move(parsed))),
        digest(files), state.folder.base, !state.folder.had_candidate};
    state.folder.had_candidate = true;
    state.folder.digest = it.digest;
    if (state.effective.generation == 0)
        in.out.push_back(bootstrap{it.values});
    if (it.digest == state.folder.conflict_digest)
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
        folder.evaluated = false;
        return;
    }
    if (folder.evaluated)
        return;
    folder.evaluated = true;
    evaluate_folder(in, it.files);
}

void handle(step_context& in, const row_read& it)
{
    if (in.state.step != publish_step::reading_row)
        return;
    if (core::ok(it.row))
        process_row(in, std::get<versioned_row>(it.row));
    else
        retry_row_read(in, std::get<core::error>(it.row));
}

void handle(step_context& in, const object_put& it)
{
    auto& state = in.state;
    if (state.step != publish_step::putting_object)
        return;
    if (it.failure)
        return retry_row_read(in, *it.failure);
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
        return complete_publication(in, generation);
    }
    const auto& reason = std::get<core::error>(it.version);
    if (reason.kind == core::error_kind::conflict)
        request_row(in);
    else
        retry_row_read(in, reason);
}

void handle(step_context& in, const object_read& it)
{
    auto& fetch = in.state.fetch;
    if (!fetch || fetch->digest != it.digest)
        return;
    fetch->in_flight = false;
    if (!core::ok(it.files))
        return schedule_retry(in, fetch->retry,
                              std::get<core::error>(it.files));
    const auto& files = std::get<file_set>(it.files);
    if (digest(files) != fetch->digest)
        return schedule_retry(in, fetch->retry,
                              {core::error_kind::protocol_error,
                               "object " + fetch->digest +
                                   " in the store does not match its digest; "
                                   "publish the folder again"});
    accept_generation(in, fetch->generation, files);
}

void handle(step_context& in, const newer_generation_received& it)
{
    accept_generation(in, it.generation, it.files);
}

void handle(step_context& in, const tick&)
{
    auto& state = in.state;
    const bool needs_first_row = state.effective.generation == 0 &&
                                 !state.fetch &&
                                 state.step == publish_step::idle;
    if ((state.step == publish_step::waiting || needs_first_row) &&
        in.now >= state.retry.retry_at)
        request_row(in);
    if (state.fetch && !state.fetch->in_flight &&
        in.now >= state.fetch->retry.retry_at)
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
