#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <string>

#include "godwitbarrow/core/error.hpp"

namespace godwitbarrow::settings
{

/// The files of a settings folder: content by file name.
using file_set = std::map<std::string, std::string>;

/// Maximum size of one file, in bytes.
constexpr std::uint64_t max_file_size = 1024ULL * 1024;
/// Maximum total size of all files, in bytes. The file set expected in two
/// years has 2.6 MB.
constexpr std::uint64_t max_set_size = 16ULL * 1024 * 1024;
constexpr std::size_t max_files = 20000;

/// Reads the regular files *.ini of a folder, not of its subfolders.
/// `not_found` if the folder cannot be read, `invalid_settings` if a limit is
/// exceeded or a file cannot be read.
core::result<file_set> read_folder(const std::filesystem::path& folder);

/// SHA-1 of names and contents in lower-case hex. It identifies the contents
/// and does not protect against forgery.
std::string digest(const file_set& files);

using generation_number = std::uint64_t;

/// The files that differ between two generations.
struct settings_delta
{
    generation_number from = 0;
    generation_number to = 0;
    /// Digest of the file set that the delta applies to.
    std::string from_digest;
    std::string to_digest;
    /// Content of each added or changed file; nullopt removes the file.
    std::map<std::string, std::optional<std::string>> changes;
};

settings_delta make_delta(generation_number from, generation_number to,
                          const file_set& older, const file_set& newer);

/// `conflict` if `files` is not the set that the delta applies to,
/// `protocol_error` if the result does not match `to_digest`.
core::result<file_set> apply_delta(const file_set& files,
                                   const settings_delta& delta);

/// Serializes the file set in the format of the object store.
std::string encode_file_set(const file_set& files);
/// `protocol_error` if the text is not a file set.
core::result<file_set> decode_file_set(const std::string& text);

}  // namespace godwitbarrow::settings
