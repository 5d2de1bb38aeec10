#include "caller_guard.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <mutex>
#include <string>
#include <vector>

#include "godwitbarrow/telemetry/log.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

constexpr std::chrono::milliseconds slowest_check{5000};
constexpr std::chrono::milliseconds fastest_check{100};
constexpr std::chrono::milliseconds log_interval{1000};
/// Statements of a caller without an answer, above which nothing more is read
/// from it. Less than the backlog of a session.
constexpr std::size_t most_outstanding = 8;
constexpr std::size_t most_outstanding_bytes = std::size_t{64} * 1024;
constexpr std::size_t most_unread_bytes = std::size_t{64} * 1024;
/// A statement is held by its session, by an action and by the buffer of a
/// member connection.
constexpr std::size_t statement_copies = 3;
/// A session's values are also held for a member connection.
constexpr std::size_t stored_copies = 2;
/// Counted with the connection and not against the budget.
constexpr std::size_t free_bytes = std::size_t{8} * 1024;
/// At the limit of connections, this share of them is closed at once, because
/// the choice looks at each.
constexpr std::size_t eviction_divisor = 64;
/// Further connections that are accepted while evicted ones are being closed.
constexpr std::size_t slack_divisor = 16;

constexpr std::string_view over_memory = "memory";
constexpr std::string_view over_connections = "connections";
constexpr std::string_view refused = "refused";

using links = std::vector<stream::connection_ptr>;

std::uint64_t descriptors_of(const host_settings& from)
{
    if (from.descriptors > 0)
        return from.descriptors;
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) != 0 ||
        files.rlim_cur == RLIM_INFINITY)
        return 0;
    return files.rlim_cur;
}

/// Counts a closed connection and logs the counts once a second.
void note_closed(app& it, std::string_view reason)
{
    telemetry::count_closed_caller(*it.metrics, reason);
    ++it.callers.unlogged[reason];
}

void log_closed(app& it)
{
    closed_counts counts;
    std::size_t open = 0;
    std::size_t held = 0;
    {
        std::lock_guard lock(it.callers.mutex);
        auto& t = it.callers;
        const auto now = core::runtime_clock::now();
        if (t.unlogged.empty() || now - t.last_log < log_interval)
            return;
        t.last_log = now;
        counts = std::exchange(t.unlogged, {});
        open = t.entries.size();
        held = t.budget.held;
    }
    for (const auto& [reason, count] : counts)
        telemetry::log_event(telemetry::log_level::warning,
                             "closed connections of callers",
                             {{"limit", std::string(reason)},
                              {"count", count},
                              {"open", open},
                              {"held_bytes", held}});
}

void begin_close(app& it, caller_entry& n, std::string_view reason, links& to)
{
    if (std::exchange(n.closing, true))
        return;
    ++it.callers.closing;
    note_closed(it, reason);
    if (auto link = n.link.lock())
        to.push_back(std::move(link));
}

/// Called without the lock of the table.
void close_all(app& it, const links& them)
{
    for (const auto& n : them)
        stream::abort(n, "closed for a limit");
    log_closed(it);
}

std::size_t held_by(const caller_entry& n)
{
    const auto all =
        n.buffered + statement_copies * n.queued + stored_copies * n.stored;
    return all <= free_bytes ? 0 : all;
}

/// Brings the budget up to date. Collects the connections to close.
void charge(app& it, pooler::session_number session, caller_entry& n,
            links& over)
{
    auto& t = it.callers;
    const auto bytes = n.closing ? 0 : held_by(n);
    if (bytes == n.charged)
        return;
    n.charged = bytes;
    admission::set_held(t.budget, session, bytes);
    while (const auto holder = admission::take_largest_over_limit(t.budget))
    {
        auto& largest = t.entries.at(*holder);
        largest.charged = 0;
        begin_close(it, largest, over_memory, over);
    }
}

bool should_pause(const caller_entry& n)
{
    return n.outstanding.size() >= most_outstanding ||
           n.queued >= most_outstanding_bytes;
}

/// Under the lock of the table, so that pauses and resumptions stay in order.
void set_paused(caller_entry& n)
{
    const bool pause = should_pause(n);
    if (std::exchange(n.paused, pause) == pause)
        return;
    if (const auto link = n.link.lock())
        pause ? stream::pause(link) : stream::resume(link);
}

/// Changes an entry, if it exists, and closes whom that brings over the budget.
template <class Change>
void update(app& it, pooler::session_number session, Change change)
{
    links over;
    {
        std::lock_guard lock(it.callers.mutex);
        const auto n = it.callers.entries.find(session);
        if (n == it.callers.entries.end())
            return;
        change(n->second);
        set_paused(n->second);
        charge(it, session, n->second, over);
    }
    if (!over.empty())
        close_all(it, over);
}

admission::caller_progress progress_of(const caller_entry& n,
                                       const stream::connection_ptr& link)
{
    const auto from = stream::progress_of(link);
    return {n.started,   from.lines, from.unfinished,
            from.paused, from.sent,  from.unsent};
}

links find_overdue(app& it, core::time_point now)
{
    links out;
    std::lock_guard lock(it.callers.mutex);
    auto& t = it.callers;
    for (auto& [session, n] : t.entries)
    {
        const auto link = n.link.lock();
        if (!link || n.closing)
            continue;
        const auto fault = admission::check_progress(
            n.watch, progress_of(n, link), t.limits, now);
        if (fault)
            begin_close(it, n, *fault, out);
    }
    t.last_check = now;
    telemetry::set_caller_load(*it.metrics, t.entries.size(), t.budget.held);
    return out;
}

std::chrono::milliseconds check_interval(const admission::caller_limits& of)
{
    const auto shortest =
        std::min({of.startup_time, of.message_time, of.answer_time});
    return std::clamp(shortest / 2, fastest_check, slowest_check);
}

void keep_checking(app& it, const std::shared_ptr<core::timer>& t)
{
    t->expires_after(check_interval(it.callers.limits));
    t->async_wait(
        [&it, t](boost::system::error_code ec)
        {
            if (ec)
                return;
            close_all(it, find_overdue(it, core::runtime_clock::now()));
            keep_checking(it, t);
        });
}

std::vector<admission::eviction_candidate> candidates(const caller_table& from)
{
    std::vector<admission::eviction_candidate> out;
    out.reserve(from.entries.size());
    for (const auto& [session, n] : from.entries)
        if (!n.closing)
            out.push_back({session, n.started, n.in_transaction,
                           n.outstanding.size(), n.active});
    return out;
}

/// Chooses connections to close, so that others can be accepted.
links evict(app& it)
{
    auto& t = it.callers;
    const auto now = core::runtime_clock::now();
    const auto most =
        std::max<std::size_t>(t.limits.connections / eviction_divisor, 1);
    links out;
    for (const auto session :
         admission::choose_evictions(candidates(t), most, now))
        begin_close(it, t.entries.at(session), over_connections, out);
    return out;
}

}  // namespace
}  // namespace detail

void start_caller_guard(app& it)
{
    const auto& from = it.settings;
    auto& to = it.callers.limits;
    to = admission::derive_caller_limits(from.memory,
                                         detail::descriptors_of(from));
    to.startup_time = from.caller_startup_time;
    to.message_time = from.caller_message_time;
    to.answer_time = from.caller_answer_time;
    it.callers.budget.limit = to.bytes;
    it.callers.last_check = core::runtime_clock::now();
    telemetry::log_event(
        telemetry::log_level::info, "limits of callers",
        {{"connections", to.connections}, {"bytes", to.bytes}});
    detail::keep_checking(it, std::make_shared<core::timer>(it.io));
}

stream::limits caller_stream_limits()
{
    stream::limits out;
    out.read_pause_bytes = detail::most_unread_bytes;
    return out;
}

bool make_room_for_caller(app& it)
{
    detail::links evicted;
    bool accepted = true;
    {
        std::lock_guard lock(it.callers.mutex);
        const auto& t = it.callers;
        const auto limit = t.limits.connections;
        const auto open = t.entries.size();
        if (open < limit)
            return true;
        const bool has_room = open - t.closing < limit;
        if (!has_room)
            evicted = detail::evict(it);
        accepted = (has_room || !evicted.empty()) &&
                   open < limit + limit / detail::slack_divisor;
        if (!accepted)
            detail::note_closed(it, detail::refused);
    }
    detail::close_all(it, evicted);
    return accepted;
}

void add_to_guard(app& it, pooler::session_number session,
                  const stream::connection_ptr& link)
{
    std::lock_guard lock(it.callers.mutex);
    caller_entry n;
    n.link = link;
    n.active = it.callers.last_check;
    n.watch.connected = core::runtime_clock::now();
    it.callers.entries.emplace(session, std::move(n));
}

void remove_from_guard(app& it, pooler::session_number session)
{
    std::lock_guard lock(it.callers.mutex);
    auto& t = it.callers;
    admission::set_held(t.budget, session, 0);
    const auto n = t.entries.find(session);
    if (n == t.entries.end())
        return;
    t.closing -= n->second.closing ? 1 : 0;
    t.entries.erase(n);
}

void note_started(app& it, pooler::session_number session)
{
    detail::update(it, session, [](caller_entry& n) { n.started = true; });
}

void note_statement(app& it, pooler::session_number session, std::size_t bytes)
{
    detail::update(it, session,
                   [&](caller_entry& n)
                   {
                       n.active = it.callers.last_check;
                       n.queued += bytes;
                       n.outstanding.push_back(bytes);
                   });
}

void note_answer(app& it, pooler::session_number session,
                 std::size_t stored_bytes, bool in_transaction)
{
    detail::update(it, session,
                   [&](caller_entry& n)
                   {
                       n.stored = stored_bytes;
                       n.in_transaction = in_transaction;
                       if (n.outstanding.empty())
                           return;
                       n.queued -= n.outstanding.front();
                       n.outstanding.pop_front();
                   });
}

void note_buffered(app& it, pooler::session_number session, std::size_t bytes)
{
    detail::update(it, session,
                   [bytes](caller_entry& n) { n.buffered = bytes; });
}

}  // namespace godwitbarrow::proxy::pooled
