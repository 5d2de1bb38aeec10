#pragma once

#include "godwitbarrow/settings/publish.hpp"

/// The steps that the events of publishing have in common.
namespace godwitbarrow::settings::detail
{

/// One call of `decide`.
struct step_context
{
    publish_state& state;
    core::time_point now;
    std::vector<action> out;
};

/// Sets the time of the next try and reports the failure.
void wait_for_store(step_context& in, back_off& wait,
                    const core::error& reason);
void ask_for_row(step_context& in);
/// Reads the row again after a pause.
void wait_and_read_row(step_context& in, const core::error& reason);

/// Takes up the next candidate unless one is on its way.
void start_next(step_context& in);
/// Goes on with what the row shows.
void take_row(step_context& in, const versioned_row& found);
/// Sends the conditional write, for the first time or again.
void send_attempt(step_context& in);
/// The pending content is `generation`, by this host or by another one.
void settle_published(step_context& in, generation_number generation);
/// Takes over a generation that another host published.
void take_generation(step_context& in, generation_number generation,
                     const file_set& files);

}  // namespace godwitbarrow::settings::detail
