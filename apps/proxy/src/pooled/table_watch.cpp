#include "table_watch.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "godwitbarrow/telemetry/log.hpp"

namespace godwitbarrow::proxy::pooled
{

/// Follows one table: reads all rows, then what changes.
struct table_watch
{
    std::string table;
    watch_times times;
    std::shared_ptr<service_link> link;
    /// Reads anew while unset.
    std::optional<watch_position> known;
    bool reachable = true;
    watch_pace pace = watch_pace::resting;
    /// Whether there is neither a call nor a pause before one.
    bool idle = false;
    watch_handler changed;
};

namespace detail
{
namespace
{

/// Longest time that the store holds a call without news. Hosts that rely on a
/// reader learn 0.75 s after it that a call was lost.
constexpr std::chrono::milliseconds longest_wait{2500};
constexpr std::chrono::milliseconds shortest_wait{200};
/// Longest time in which the store answers when it has news.
constexpr std::chrono::milliseconds longest_answer{1200};
constexpr std::chrono::milliseconds retry_pause{300};
constexpr std::chrono::milliseconds relaxed_retry_pause{1500};
/// For the call that finds the news after a lost one: a new connection and an
/// answer, on a host that is slow.
constexpr std::chrono::milliseconds repeated_call{500};

/// A read of a table to its end.
struct table_read
{
    std::shared_ptr<service_link> link;
    std::string table;
    platform::key_range keys;
    std::chrono::milliseconds timeout;
    page_handler handler;
    /// Without a value before the first answer.
    std::optional<platform::row_page> rows;
};
using read_ptr = std::shared_ptr<table_read>;

void read_next(app& it, const read_ptr& r);

/// Appends a page, which may begin with the last row that is known. Returns an
/// error if the store was restored since or the page has no other rows.
std::optional<core::error> append_page(platform::row_page& to,
                                       platform::row_page next)
{
    if (next.era != to.era)
        return core::error{core::error_kind::conflict,
                           "the store was restored from a copy during the "
                           "read; read the rows again"};
    const auto known = to.rows.size();
    for (auto& row : next.rows)
        if (to.rows.empty() || row.key > to.rows.back().key)
            to.rows.push_back(std::move(row));
    to.has_more = next.has_more;
    if (!to.has_more || to.rows.size() > known)
        return std::nullopt;
    return core::error{core::error_kind::store_unavailable,
                       "a page of the table has no new rows; try again later"};
}

void take_part(app& it, const read_ptr& r, core::time_point began,
               core::result<platform::row_page> got)
{
    if (!ok(got))
        return r->handler(got);
    auto& page = std::get<platform::row_page>(got);
    note_store_era(it, page.era);
    if (!r->rows)
        r->rows = platform::row_page{
            {}, page.version, page.era, page.store_time, began, false};
    if (auto e = append_page(*r->rows, std::move(page)))
        return r->handler(std::move(*e));
    if (!r->rows->has_more)
        return r->handler(std::move(*r->rows));
    r->keys.from = r->rows->rows.back().key;
    read_next(it, r);
}

void read_next(app& it, const read_ptr& r)
{
    const auto began = core::runtime_clock::now();
    call_service(it, r->link, platform::list_rows(r->table, r->keys),
                 r->timeout,
                 [&it, r, began](const http::exchange_result& got)
                 { take_part(it, r, began, page_of(got)); });
}

void follow(app& it, const table_watch_ptr& w);

void note_reachable(table_watch& w, bool reachable, const std::string& reason)
{
    if (w.reachable == reachable)
        return;
    w.reachable = reachable;
    telemetry::log_event(telemetry::log_level::info,
                         reachable ? "store regained" : "store lost",
                         {{"table", w.table}, {"reason", reason}});
}

void note_new_era(const table_watch& w, std::uint64_t era)
{
    telemetry::log_event(telemetry::log_level::warning,
                         "store restored from a copy",
                         {{"table", w.table}, {"era", era}});
}

/// Runs on the strand after a pause.
void follow_after(app& it, const table_watch_ptr& w,
                  std::chrono::milliseconds pause)
{
    after(it, pause,
          [&it, w]
          { boost::asio::post(it.hosts.strand, [&it, w] { follow(it, w); }); });
}

void follow_on(app& it, const table_watch_ptr& w)
{
    if (w->times.pause > std::chrono::milliseconds(0))
        return follow_after(it, w, w->times.pause);
    follow(it, w);
}

void take_page(app& it, const table_watch_ptr& w,
               const core::result<platform::row_page>& got,
               const std::optional<watch_position>& from)
{
    if (const auto* e = std::get_if<core::error>(&got))
    {
        note_reachable(*w, false, e->message);
        if (e->kind == core::error_kind::conflict)
            w->known.reset();
        return follow_after(
            it, w,
            w->pace == watch_pace::relaxed ? relaxed_retry_pause : retry_pause);
    }
    note_reachable(*w, true, {});
    const auto& page = std::get<platform::row_page>(got);
    note_store_era(it, page.era);
    if (from && page.era != from->era)
    {
        note_new_era(*w, page.era);
        w->known.reset();
        return follow(it, w);
    }
    advance_watch(w, {page.version, page.era});
    w->changed(page, from ? std::optional(from->version) : std::nullopt);
    follow_on(it, w);
}

void read_whole(app& it, const table_watch_ptr& w)
{
    read_table(it, w->link, w->table, {}, w->times.answer,
               [&it, w](const core::result<platform::row_page>& got)
               {
                   boost::asio::post(it.hosts.strand, [&it, w, got]
                                     { take_page(it, w, got, std::nullopt); });
               });
}

void read_changes(app& it, const table_watch_ptr& w)
{
    // After a failure the store answers at once, so that a repeated call on a
    // connection that went silent meanwhile is noticed early.
    const auto wait =
        w->reachable ? w->times.wait : std::chrono::milliseconds(0);
    const auto began = core::runtime_clock::now();
    call_service(
        it, w->link, platform::watch_rows(w->table, w->known->version, wait),
        wait + w->times.answer,
        [&it, w, began, from = *w->known](const http::exchange_result& got)
        {
            auto page = page_of(got);
            if (ok(page))
                std::get<platform::row_page>(page).read_at = began;
            boost::asio::post(it.hosts.strand, [&it, w, page, from]
                              { take_page(it, w, page, from); });
        });
}

void follow(app& it, const table_watch_ptr& w)
{
    w->idle = w->known && w->pace == watch_pace::resting;
    if (w->idle)
        return;
    if (w->known)
        read_changes(it, w);
    else
        read_whole(it, w);
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

void read_table(app& it, const std::shared_ptr<service_link>& on,
                std::string_view table, const platform::key_range& keys,
                std::chrono::milliseconds call_timeout, page_handler handler)
{
    const auto r = std::make_shared<detail::table_read>();
    r->link = on;
    r->table = table;
    r->keys = keys;
    r->timeout = call_timeout;
    r->handler = std::move(handler);
    detail::read_next(it, r);
}

table_watch_ptr watch_table(app& it, std::string_view table,
                            const watch_times& times, watch_handler handler)
{
    auto w = std::make_shared<table_watch>();
    w->table = table;
    w->times = times;
    w->link = make_store_link(it);
    w->changed = std::move(handler);
    detail::follow(it, w);
    return w;
}

void set_pace(app& it, const table_watch_ptr& w, watch_pace pace)
{
    w->pace = pace;
    if (pace != watch_pace::resting && w->idle)
        detail::follow(it, w);
}

void advance_watch(const table_watch_ptr& w, const watch_position& to)
{
    if (!w->known || to.era > w->known->era ||
        (to.era == w->known->era && to.version > w->known->version))
        w->known = to;
}

bool is_answered(const table_watch_ptr& w)
{
    return w->reachable;
}

}  // namespace godwitbarrow::proxy::pooled
