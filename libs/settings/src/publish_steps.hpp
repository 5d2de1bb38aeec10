#pragma once

#include "godwitbarrow/settings/publish.hpp"

/// Steps shared by the event handlers of `decide`.
namespace godwitbarrow::settings::detail
{

/// State of one call to `decide`.
struct step_context
{
    publish_state& state;
    core::time_point now;
    std::vector<action> out;
};

/// Schedules the next attempt with back-off and reports the failure.
void schedule_retry(step_context& context, back_off& retry,
                    const core::error& reason);
void request_row(step_context& context);
/// Schedules another read of the row after a failure.
void retry_row_read(step_context& context, const core::error& reason);

/// Starts publishing the next candidate unless one is being published.
void start_next(step_context& context);
/// Resumes publishing with the row that was read.
void process_row(step_context& context, const versioned_row& found);
/// Sends the conditional write, for the first time or as a retry.
void send_attempt(step_context& context);
/// Records that the pending contents are `generation`, published by this host
/// or by another one.
void complete_publication(step_context& context, generation_number generation);
/// Validates and applies a generation that another host published.
void accept_generation(step_context& context, generation_number generation,
                       const file_set& files);

}  // namespace godwitbarrow::settings::detail
