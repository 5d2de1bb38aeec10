#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "app.hpp"
#include "godwitbarrow/platform/rows.hpp"
#include "store_link.hpp"

/// Reads tables of the store, and follows them by calls that the store holds
/// until there is news.
namespace godwitbarrow::proxy::pooled
{

struct watch_times
{
    /// How long the store holds a call without news.
    std::chrono::milliseconds wait{3000};
    /// How long its answer may take beyond that. A call without an answer by
    /// then is lost.
    std::chrono::milliseconds answer{1200};
    /// Between two calls, so that a table which many hosts write at the same
    /// time does not take a call for each of them.
    std::chrono::milliseconds pause{0};
};

struct table_watch;
using table_watch_ptr = std::shared_ptr<table_watch>;

/// Up to which a table is known.
struct watch_position
{
    std::uint64_t version = 0;
    std::uint64_t era = 0;
};

/// All rows of the table, or those that changed after `after`. Also called if
/// none did.
using watch_handler = std::function<void(
    const platform::row_page&, const std::optional<std::uint64_t>& after)>;

/// Returns the times with which a call that was lost just after it was sent
/// hides news no longer than the limit, which has to be at least 1500 ms: until
/// it is given up, and the next call is answered.
watch_times watch_times_for(std::chrono::milliseconds limit);

using page_handler =
    std::function<void(const core::result<platform::row_page>&)>;

/// Reads all rows of a table whose keys are in the range, in as many calls as
/// it takes. What changed meanwhile is among the changes after the version that
/// is returned, which is that of the first call. Errors as of `page_of`, and
/// `conflict` if the store was restored from a copy between two calls.
void read_table(app& it, const std::shared_ptr<service_link>& on,
                std::string_view table, const platform::key_range& keys,
                std::chrono::milliseconds call_timeout, page_handler handler);

/// Reads the table and passes on its rows, then what changes in it. The watch
/// rests once the table is known, until `set_pace`. This and what follows
/// is called on the strand of `app::hosts`, on which the handler runs.
table_watch_ptr watch_table(app& it, std::string_view table,
                            const watch_times& times, watch_handler handler);

enum class watch_pace
{
    /// Makes no calls.
    resting,
    /// Repeats a failed call late, as other hosts repeat theirs.
    relaxed,
    prompt
};

/// A watch that rested goes on with what changed meanwhile.
void set_pace(app& it, const table_watch_ptr& w, watch_pace pace);

/// Goes on from here, as another host has read the table so far.
void advance_watch(const table_watch_ptr& w, const watch_position& to);

/// Whether the last call was answered.
bool is_answered(const table_watch_ptr& w);

}  // namespace godwitbarrow::proxy::pooled
