#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "app.hpp"

/// Versions of the operator's configuration that hosts tell each other. On one
/// link, what a host sends after a notice was decided under that version or a
/// later one.
namespace godwitbarrow::proxy::pooled
{

/// Applies the text of a configuration that another host has sent, as if the
/// store had returned it. Runs on the strand of `app::hosts`.
using configuration_handler = std::function<void(const std::string& text)>;

/// Called before `start_mesh`.
void exchange_configurations(app& it, configuration_handler handler);

/// Tells the linked hosts of a configuration that is about to be in force here.
/// `rows` is the revision of the operator's table that it came with, if any.
/// Returns false if one of this version or a later one was announced.
bool announce_configuration(app& it, std::uint64_t version, std::string text,
                            const std::optional<transfer::revision>& rows);

/// An announced configuration is in force.
void note_in_force(app& it, std::uint64_t version);

/// The highest version that the host has told on its present link, 0 if none.
std::uint64_t version_told_by(const app& it, const core::host_id& host);

/// Whether this host has every configuration in force that the other has told.
bool is_as_new_as(const app& it, const core::host_id& host);

}  // namespace godwitbarrow::proxy::pooled
