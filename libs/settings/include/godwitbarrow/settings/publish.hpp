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

/// State machine of one host for generations of settings: it publishes the
/// host's own folder and applies the generations that other hosts publish.
namespace godwitbarrow::settings
{

// Events.

/// Contents of the folder; sent on every scan, changed or not.
struct folder_scanned
{
    file_set files;
};

/// Result of `read_row`. A row that does not exist has version 0.
struct row_read
{
    core::result<versioned_row> row;
};

/// Result of `put_object`.
struct object_put
{
    /// Absent if the object is stored.
    std::optional<core::error> failure;
};

/// Result of `write_row`: the new version of the row, or `conflict` if its
/// version was not the expected one. After any other error it is unknown
/// whether the write took effect.
struct row_written
{
    core::result<std::uint64_t> version;
};

/// Result of `get_object`.
struct object_read
{
    std::string digest;
    core::result<file_set> files;
};

/// A peer sent the full file set of a generation, or a delta was applied.
struct newer_generation_received
{
    generation_number generation = 0;
    file_set files;
};

struct tick
{
};

using event = std::variant<folder_scanned, row_read, object_put, row_written,
                           object_read, newer_generation_received, tick>;

// Actions.

struct put_object
{
    std::string digest;
    std::shared_ptr<const file_set> files;
};

/// Fetches the file set of a generation that no peer has sent.
struct get_object
{
    std::string digest;
};

struct read_row
{
};

/// Conditional write of the row; version 0 requires that the row does not
/// exist.
struct write_row
{
    settings_row row;
    std::uint64_t expected_version = 0;
};

/// Puts a generation into effect on this host and sends it to the peers.
struct apply
{
    generation_number generation = 0;
    std::string digest;
    std::shared_ptr<const file_set> files;
    std::shared_ptr<const settings> values;
};

/// Settings from the folder at startup, before any generation is known. They
/// serve to reach the platform and the peers; they are not a generation and may
/// be outdated.
struct bootstrap
{
    std::shared_ptr<const settings> values;
};

/// The folder, or a generation made by a newer version of this program, is
/// invalid; the last accepted settings stay in effect.
struct report_rejected
{
    /// Absent if the folder was rejected.
    std::optional<generation_number> generation;
    std::vector<problem> problems;
};

enum class conflict_cause
{
    /// Another host published first, or published a generation that this folder
    /// is not based on.
    lost_race,
    /// The folder at startup equals an older generation.
    stale_folder,
    /// The folder at startup differs from the current generation, and the row
    /// no longer keeps all the digests needed to tell whether it equals an
    /// older one.
    age_unknown
};

/// The folder conflicts with the current generation and is not published until
/// it changes again.
struct report_conflict
{
    conflict_cause cause = conflict_cause::lost_race;
    generation_number generation = 0;
    /// Host that published the current generation.
    core::host_id publisher;
};

struct report_published
{
    generation_number generation = 0;
};

/// A call to the store failed; the step is retried at `retry_at`.
struct report_store_failure
{
    core::error reason;
    core::time_point retry_at;
    std::uint32_t failures = 0;
};

using action = std::variant<put_object, get_object, read_row, write_row, apply,
                            bootstrap, report_rejected, report_conflict,
                            report_published, report_store_failure>;

/// One sentence that includes the remedy, for the log and the admin API.
std::string to_string(const report_conflict& conflict);

// State.

/// Valid folder contents that are being published.
struct candidate
{
    std::shared_ptr<const file_set> files;
    std::shared_ptr<const settings> values;
    std::string digest;
    /// Newest generation that the folder is based on.
    generation_number base = 0;
    /// Whether these are the first valid contents since the process started.
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

/// The generation in effect on this host; 0 before the first one is applied.
struct effective_generation
{
    generation_number generation = 0;
    std::string digest;
    /// Null before the first generation is applied.
    std::shared_ptr<const settings> values;
};

/// Retry state of a failing call; the delay grows with each failure.
struct back_off
{
    std::uint32_t failures = 0;
    core::time_point retry_at;
};

/// What is known about the settings folder.
struct folder_state
{
    /// Result of the last scan. Contents are evaluated when two consecutive
    /// scans agree, so that a file that is still being written is not
    /// published.
    std::optional<file_set> last_scan;
    bool evaluated = false;
    bool had_candidate = false;
    /// Newest generation that the folder is based on.
    generation_number base = 0;
    /// Digest of the valid contents that were evaluated last.
    std::string digest;
    /// Digest of the contents that ended in a conflict; a folder that returns
    /// to them has not been merged. Empty after the next publication.
    std::string conflict_digest;
};

/// A row write whose outcome has to be determined.
struct attempted_write
{
    settings_row row;
    std::uint64_t expected_version = 0;
};

/// A generation whose file set is being fetched from the object store.
struct fetch_state
{
    generation_number generation = 0;
    std::string digest;
    bool in_flight = false;
    back_off retry;
};

struct publish_state
{
    core::host_id self;
    /// Identifies this process; makes attempt ids unique across the fleet.
    std::string incarnation;
    std::uint64_t attempts = 0;
    folder_state folder;
    effective_generation effective;
    publish_step step = publish_step::idle;
    back_off retry;
    /// The row that `pending` is based on.
    versioned_row row;
    std::optional<candidate> pending;
    /// Evaluated while `pending` was being published.
    std::optional<candidate> queued;
    std::optional<attempted_write> attempt;
    std::optional<fetch_state> fetch;
    /// A generation that this version of the program cannot read.
    generation_number rejected_generation = 0;
};

/// Handles one event and returns the actions to carry out. The caller must send
/// at least one `tick` after each reported `retry_at`.
std::vector<action> decide(publish_state& state, const event& received,
                           core::time_point now);

}  // namespace godwitbarrow::settings
