#include "godwitbarrow/settings/publish.hpp"

#include "publish_steps.hpp"

namespace godwitbarrow::settings
{
namespace detail
{
namespace
{

void evaluate_folder(step_context& context, const file_set& files)
{
    auto& state = context.state;
    auto parsed = parse_settings(files);
    if (const auto* problems = std::get_if<std::vector<problem>>(&parsed))
    {
        context.out.push_back(report_rejected{std::nullopt, *problems});
        return;
    }
    candidate next{
        std::make_shared<const file_set>(files),
        std::make_shared<const settings>(std::get<settings>(std::move(parsed))),
        digest(files), state.folder.base, !state.folder.had_candidate};
    state.folder.had_candidate = true;
    state.folder.digest = next.digest;
    if (state.effective.generation == 0)
        context.out.push_back(bootstrap{next.values});
    if (next.digest == state.folder.conflict_digest)
        return;
    state.queued = std::move(next);
    if (state.step == publish_step::idle)
        start_next(context);
}

void handle(step_context& context, const folder_scanned& received)
{
    auto& folder = context.state.folder;
    if (folder.last_scan != received.files)
    {
        folder.last_scan = received.files;
        folder.evaluated = false;
        return;
    }
    if (folder.evaluated)
        return;
    folder.evaluated = true;
    evaluate_folder(context, received.files);
}

void handle(step_context& context, const row_read& received)
{
    if (context.state.step != publish_step::reading_row)
        return;
    if (core::ok(received.row))
        process_row(context, std::get<versioned_row>(received.row));
    else
        retry_row_read(context, std::get<core::error>(received.row));
}

void handle(step_context& context, const object_put& received)
{
    auto& state = context.state;
    if (state.step != publish_step::putting_object)
        return;
    if (received.failure)
        return retry_row_read(context, *received.failure);
    ++state.attempts;
    const core::attempt_id attempt{state.self.value + "/" + state.incarnation +
                                   "/" + std::to_string(state.attempts)};
    state.attempt = {
        next_row(state.row.row, state.pending->digest, state.self, attempt),
        state.row.version};
    send_attempt(context);
}

void handle(step_context& context, const row_written& received)
{
    auto& state = context.state;
    if (state.step != publish_step::writing_row)
        return;
    if (core::ok(received.version))
    {
        const auto generation = state.attempt->row.generation;
        context.out.push_back(report_published{generation});
        return complete_publication(context, generation);
    }
    const auto& reason = std::get<core::error>(received.version);
    if (reason.kind == core::error_kind::conflict)
        request_row(context);
    else
        retry_row_read(context, reason);
}

void handle(step_context& context, const object_read& received)
{
    auto& fetch = context.state.fetch;
    if (!fetch || fetch->digest != received.digest)
        return;
    fetch->in_flight = false;
    if (!core::ok(received.files))
        return schedule_retry(context, fetch->retry,
                              std::get<core::error>(received.files));
    const auto& files = std::get<file_set>(received.files);
    if (digest(files) != fetch->digest)
        return schedule_retry(
            context, fetch->retry,
            {core::error_kind::protocol_error,
             "object " + fetch->digest +
                 " in the store has content that does not match its "
                 "digest; publish the folder again"});
    accept_generation(context, fetch->generation, files);
}

void handle(step_context& context, const newer_generation_received& received)
{
    accept_generation(context, received.generation, received.files);
}

void handle(step_context& context, const tick&)
{
    auto& state = context.state;
    const bool needs_first_row = state.effective.generation == 0 &&
                                 !state.fetch &&
                                 state.step == publish_step::idle;
    if ((state.step == publish_step::waiting || needs_first_row) &&
        context.now >= state.retry.retry_at)
        request_row(context);
    if (state.fetch && !state.fetch->in_flight &&
        context.now >= state.fetch->retry.retry_at)
    {
        state.fetch->in_flight = true;
        context.out.push_back(get_object{state.fetch->digest});
    }
}

}  // namespace
}  // namespace detail

std::vector<action> decide(publish_state& state, const event& received,
                           core::time_point now)
{
    detail::step_context context{state, now, {}};
    std::visit([&](const auto& alternative)
               { detail::handle(context, alternative); },
               received);
    return std::move(context.out);
}

}  // namespace godwitbarrow::settings
