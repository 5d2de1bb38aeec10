#include "table_watch.hpp"

#include <algorithm>

#include "godwitbarrow/telemetry/log.hpp"
#include "store_link.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

/// Longest time that the store holds a call without news.
constexpr std::chrono::milliseconds longest_wait{3000};
constexpr std::chrono::milliseconds shortest_wait{200};
/// Longest time in which the store answers when it has news.
constexpr std::chrono::milliseconds longest_answer{1200};
constexpr std::chrono::milliseconds retry_pause{300};
/// For the call that finds the news after a lost one: a new connection and an
/// answer, on a host that is slow.
constexpr std::chrono::milliseconds repeated_call{500};

/// Follows one table: reads all rows, then what changes.
struct table_watch
{
    std::string table;
    watch_times times;
    std::shared_ptr<service_link> link;
    /// Reads anew while unset.
    std::optional<std::uint64_t> version;
    bool reachable = true;
    std::function<void(const platform::row_page&, bool whole)> changed;
};
using watch_ptr = std::shared_ptr<table_watch>;

void follow(app& it, const watch_ptr& w);

void note_reachable(table_watch& w, bool reachable, const std::string& reason)
{
    if (w.reachable == reachable)
        return;
    w.reachable = reachable;
    telemetry::log_event(telemetry::log_level::info,
                         reachable ? "store regained" : "store lost",
                         {{"table", w.table}, {"reason", reason}});
}

void take_page(app& it, const watch_ptr& w,
               const core::result<platform::row_page>& got, bool whole)
{
    if (const auto* e = std::get_if<core::error>(&got))
    {
        note_reachable(*w, false, e->message);
        if (e->kind == core::error_kind::conflict)
            w->version.reset();
        return after(it, retry_pause, [&it, w] { follow(it, w); });
    }
    note_reachable(*w, true, {});
    const auto& page = std::get<platform::row_page>(got);
    w->version = page.version;
    if (whole || !page.rows.empty())
        w->changed(page, whole);
    follow(it, w);
}

void follow(app& it, const watch_ptr& w)
{
    const bool whole = !w->version;
    // After a failure the store answers at once, so that a repeated call on a
    // connection that went silent meanwhile is noticed early.
    const auto wait =
        w->reachable ? w->times.wait : std::chrono::milliseconds(0);
    auto call = whole ? platform::list_rows(w->table)
                      : platform::watch_rows(w->table, *w->version, wait);
    const auto timeout = whole ? w->times.answer : wait + w->times.answer;
    call_service(it, w->link, std::move(call), timeout,
                 [&it, w, whole](const http::exchange_result& got)
                 { take_page(it, w, page_of(got), whole); });
}

}  // namespace
}  // namespace detail

watch_times watch_times_for(std::chrono::milliseconds limit)
{
    // An answer that is only slow is not given up early, as a repeated call
    // would be slow as well.
    const auto answer = std::min(detail::longest_answer, limit * 3 / 10);
    const auto wait =
        limit - answer - detail::retry_pause - detail::repeated_call;
    return {std::clamp(wait, detail::shortest_wait, detail::longest_wait),
            answer};
}

void watch_table(
    app& it, std::string_view table, const watch_times& times,
    std::function<void(const platform::row_page&, bool whole)> handler)
{
    const auto w = std::make_shared<detail::table_watch>();
    w->table = table;
    w->times = times;
    w->link = make_store_link(it);
    w->changed = std::move(handler);
    detail::follow(it, w);
}

}  // namespace godwitbarrow::proxy::pooled
