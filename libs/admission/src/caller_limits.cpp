#include "godwitbarrow/admission/caller_limits.hpp"

#include <algorithm>
#include <tuple>

namespace godwitbarrow::admission
{
namespace detail
{
namespace
{

constexpr std::uint64_t mib = std::uint64_t{1024} * 1024;
constexpr std::uint64_t default_memory = 256 * mib;
constexpr std::uint64_t default_descriptors = 1024;
/// For the process itself, its connections to members and the answers that
/// arrive on them.
constexpr std::uint64_t base_memory = 32 * mib;
/// An idle session with its buffers.
constexpr std::uint64_t connection_bytes = std::uint64_t{16} * 1024;
/// Of the descriptors, for files.
constexpr std::uint64_t file_descriptors = 200;
/// For members, the store, other hosts, probes and metrics.
constexpr std::uint64_t most_reserved_sockets = 512;
/// Transactions with pauses shorter than this are not evicted.
constexpr std::chrono::seconds transaction_rest{10};

/// Starts, keeps or ends the time since which something stands still.
void follow(std::optional<core::time_point>& since, bool stands,
            bool has_changed, core::time_point now)
{
    if (!stands)
        since.reset();
    else if (has_changed || !since)
        since = now;
}

bool exceeds(const std::optional<core::time_point>& since, core::time_point now,
             std::chrono::milliseconds limit)
{
    return since && now - *since >= limit;
}

int eviction_order(const eviction_candidate& it)
{
    if (!it.started)
        return 0;
    return it.in_transaction ? 2 : 1;
}

bool is_evictable(const eviction_candidate& it, core::time_point now)
{
    if (it.outstanding > 0)
        return false;
    return !it.in_transaction || now - it.active >= transaction_rest;
}

bool goes_first(const eviction_candidate& a, const eviction_candidate& b)
{
    return std::make_tuple(eviction_order(a), a.active, a.session) <
           std::make_tuple(eviction_order(b), b.active, b.session);
}

}  // namespace
}  // namespace detail

caller_limits derive_caller_limits(std::uint64_t memory,
                                   std::uint64_t descriptors)
{
    if (memory == 0)
        memory = detail::default_memory;
    if (descriptors == 0)
        descriptors = detail::default_descriptors;
    const auto base = std::min(detail::base_memory, memory / 2);
    const auto sockets =
        descriptors - std::min(detail::file_descriptors, descriptors / 2);
    const auto reserved = std::min(detail::most_reserved_sockets, sockets / 4);
    caller_limits it;
    it.bytes = (memory - base) / 2;
    it.connections = std::min(sockets - reserved,
                              (memory - base) / 2 / detail::connection_bytes);
    return it;
}

std::optional<std::string_view> check_progress(progress_watch& it,
                                               const caller_progress& now_at,
                                               const caller_limits& within,
                                               core::time_point now)
{
    detail::follow(it.unfinished_since, now_at.unfinished > 0 && !now_at.paused,
                   now_at.messages != it.last.messages, now);
    detail::follow(it.untaken_since, now_at.untaken > 0,
                   now_at.taken != it.last.taken, now);
    it.last = now_at;
    if (!now_at.started && now - it.connected >= within.startup_time)
        return "no startup";
    if (detail::exceeds(it.unfinished_since, now, within.message_time))
        return "a message did not arrive whole";
    if (detail::exceeds(it.untaken_since, now, within.answer_time))
        return "an answer was not taken";
    return std::nullopt;
}

std::vector<std::uint64_t> choose_evictions(
    std::vector<eviction_candidate> from, std::size_t most,
    core::time_point now)
{
    from.erase(std::remove_if(from.begin(), from.end(),
                              [now](const auto& n)
                              { return !detail::is_evictable(n, now); }),
               from.end());
    most = std::min(most, from.size());
    const auto end = from.begin() + static_cast<std::ptrdiff_t>(most);
    std::partial_sort(from.begin(), end, from.end(), detail::goes_first);
    std::vector<std::uint64_t> out;
    for (auto n = from.begin(); n != end; ++n)
        out.push_back(n->session);
    return out;
}

}  // namespace godwitbarrow::admission
