#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/settings/row.hpp"
#include "godwitbarrow/settings/settings.hpp"

/// Decisions of one host about generations of settings: publishing its own
/// folder and taking over what other hosts published.
namespace godwitbarrow::settings
{

// Events.

/// Content of the folder; sent on every scan, changed or not.
struct folder_scanned
{
    file_set files;
};

/// Answer to `read_row`. A row that does not exist has version 0.
struct row_read
{
    core::result<versioned_row> row;
};

/// Answer to `put_object`.
struct object_put
{
    /// Absent if the object is stored.
    std::optional<core::error> failure;
};

/// Answer to `write_row`: the version that the row has now, `conflict` if its
/// version was not the expected one; any other error leaves open whether the
/// write took effect.
struct row_written
{
    core::result<std::uint64_t> version;
};

/// Answer to `get_object`.
struct object_read
{
    std::string digest;
    core::result<file_set> files;
};

/// A peer sent the whole file set of a generation, or a delta was applied.
struct newer_generation_learned
{
    generation_number generation = 0;
    file_set files;
};

struct tick
{
};

using event = std::variant<folder_scanned, row_read, object_put, row_written,
                           object_read, newer_generation_learned, tick>;

// Actions.

struct put_object
{
    std::string digest;
    std::shared_ptr<const file_set> files;
};

/// Fetch the file set of a generation that no peer has sent.
struct get_object
{
    std::string digest;
};

struct read_row
{
};

/// Conditional write of the row; version 0 means that it must not exist.
struct write_row
{
    settings_row row;
    std::uint64_t expected_version = 0;
};

/// Put a generation in effect on this host and pass it on to peers.
struct apply
{
    generation_number generation = 0;
    std::string digest;
    std::shared_ptr<const file_set> files;
    std::shared_ptr<const settings> values;
};

/// The folder at start, before any generation is known. Use it to reach the
/// platform and the peers; it is no generation and may be outdated.
struct bootstrap
{
    std::shared_ptr<const settings> values;
};

/// The folder, or a generation made by a newer version of this program, is
/// invalid; what was accepted last stays in effect.
struct report_rejected
{
    /// Absent if the folder was rejected.
    std::optional<generation_number> generation;
    std::vector<problem> problems;
};

enum class conflict_cause
{
    /// Another host published first, or after this folder was last up to date.
    lost_race,
    /// The folder at start equals an older generation.
    stale_folder,
    /// The folder at start differs from the current generation, and the row no
    /// longer shows whether it equals an older one.
    age_unknown
};

/// The folder is not published until it changes again.
struct report_conflict
{
    conflict_cause cause = conflict_cause::lost_race;
    generation_number generation = 0;
    /// Host that published the winning generation.
    core::host_id publisher;
};

struct report_published
{
    generation_number generation = 0;
};

/// The store failed; the step is tried again at `retry_at`.
struct report_waiting
{
    core::error reason;
    core::time_point retry_at;
    std::uint32_t failures = 0;
};

using action = std::variant<put_object, get_object, read_row, write_row, apply,
                            bootstrap, report_rejected, report_conflict,
                            report_published, report_waiting>;

/// One sentence with the remedy, for the log and the admin API.
std::string to_string(const report_conflict& it);

// State.

/// A valid content of the folder on its way to the row.
struct candidate
{
    std::shared_ptr<const file_set> files;
    std::shared_ptr<const settings> values;
    std::string digest;
    /// Newest generation that the folder took into account.
    generation_number base = 0;
    /// Whether it is the first content since the process started.
    bool from_start = false;
};

enum class publish_step
{
    idle,
    reading_row,
    putting_object,
    writing_row,
    waiting
};

/// The generation in effect on this host; 0 before the first.
struct effective_generation
{
    generation_number generation = 0;
    std::string digest;
    /// Null before the first.
    std::shared_ptr<const settings> values;
};

/// Repeats a failing call after a growing time.
struct back_off
{
    std::uint32_t failures = 0;
    core::time_point retry_at;
};

/// What is known of the folder.
struct folder_state
{
    /// Last scan; a content is considered when two scans in a row agree, so
    /// that a file that is still being written is not published.
    std::optional<file_set> last_scan;
    bool considered = false;
    bool any_candidate = false;
    /// Newest generation that the folder took into account.
    generation_number base = 0;
    /// Digest of the valid content that was considered last.
    std::string digest;
    /// Digest of the content that ended in a conflict; a folder that returns
    /// to it has not been merged. Empty after the next publication.
    std::string lost_digest;
};

/// A write whose outcome has to be found.
struct attempted_write
{
    settings_row row;
    std::uint64_t expected_version = 0;
};

/// The file set of a generation that is fetched from the object store.
struct fetch_state
{
    generation_number generation = 0;
    std::string digest;
    bool in_flight = false;
    back_off wait;
};

struct publish_state
{
    core::host_id self;
    /// Unique to this process; makes attempt ids unique in the fleet.
    std::string incarnation;
    std::uint64_t attempts = 0;
    folder_state folder;
    effective_generation effective;
    publish_step step = publish_step::idle;
    back_off wait;
    /// The row that `pending` builds on.
    versioned_row row;
    std::optional<candidate> pending;
    /// Considered while `pending` was on its way.
    std::optional<candidate> queued;
    std::optional<attempted_write> attempt;
    std::optional<fetch_state> fetch;
    /// A generation that this version of the program cannot read.
    generation_number refused = 0;
};

/// At least one `tick` must follow every `retry_at` that was reported.
std::vector<action> decide(publish_state& state, const event& it,
                           core::time_point now);

}  // namespace godwitbarrow::settings
