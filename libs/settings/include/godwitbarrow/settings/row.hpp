#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/settings/file_set.hpp"

/// The row settings/current in the table service of the platform.
namespace godwitbarrow::settings
{

/// Maximum number of generations whose digests the row keeps.
constexpr std::size_t max_row_digests = 64;

struct settings_row
{
    generation_number generation = 0;
    /// Host that published the generation.
    core::host_id publisher;
    core::attempt_id attempt;
    /// Digests of the most recent generations, newest last; never empty in a
    /// row that exists.
    std::vector<std::string> digests;
};

/// A row with the version that a conditional write must specify; version 0
/// means that the row does not exist.
struct versioned_row
{
    settings_row row;
    std::uint64_t version = 0;
};

/// Nullopt if the row does not keep the digest of the generation.
std::optional<std::string> digest_of(const settings_row& row,
                                     generation_number generation);
/// Digest of the row's generation; empty if the row does not exist.
std::string current_digest(const settings_row& row);
/// Whether the row keeps the digest as that of an older generation.
bool is_older_digest(const settings_row& row, const std::string& digest);
/// Whether the row keeps the digests of all generations.
bool has_complete_history(const settings_row& row);

/// The row that publishes `digest` as the generation after `row`.
settings_row next_row(const settings_row& row, const std::string& digest,
                      const core::host_id& publisher,
                      const core::attempt_id& attempt);

/// Serializes the row as lines of the form "key value"; row_test.cpp has an
/// example.
std::string encode_row(const settings_row& row);
/// `protocol_error` if the text is not a settings row.
core::result<settings_row> decode_row(const std::string& text);

}  // namespace godwitbarrow::settings
