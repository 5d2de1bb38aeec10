#pragma once

#include <chrono>
#include <functional>
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
};

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

/// Reads the table and passes on its rows, then what changes in it. `whole`
/// tells that rows which are not in the page no longer exist.
void watch_table(
    app& it, std::string_view table, const watch_times& times,
    std::function<void(const platform::row_page&, bool whole)> handler);

}  // namespace godwitbarrow::proxy::pooled
