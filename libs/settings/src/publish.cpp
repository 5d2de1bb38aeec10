#include "godwitbarrow/settings/publish.hpp"

#include "publish_steps.hpp"

namespace godwitbarrow::settings
{
namespace detail
{
namespace
{

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
