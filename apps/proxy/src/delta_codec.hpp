#pragma once

#include <vector>

#include "godwitbarrow/membership/events.hpp"
#include "godwitbarrow/peer/messages.hpp"
#include "godwitbarrow/settings/publish.hpp"

/// How generations of settings travel between hosts.
namespace godwitbarrow::proxy
{

struct app;

/// Opaque content of a `membership::settings_delta`.
std::string encode_delta(const settings::settings_delta& it);
core::result<settings::settings_delta> decode_delta(
    settings::generation_number from, settings::generation_number to,
    const std::string& content);

/// A whole file set under way to this host.
struct settings_transfer
{
    std::uint64_t generation = 0;
    std::uint32_t next_chunk = 0;
    settings::file_set files;
};

/// The file set in effect, cut into messages below the size of a frame.
std::vector<peer::settings_delta> whole_settings_chunks(app& it);

/// Adds a chunk; returns the file set with the last one. Chunks that are out
/// of order or of an old generation end the transfer.
std::optional<settings::newer_generation_received> add_chunk(
    settings_transfer& it, std::uint64_t have_generation,
    const peer::settings_delta& chunk);

}  // namespace godwitbarrow::proxy
