#include <algorithm>
#include <iterator>

#include "detail.hpp"
#include "sizes.hpp"

namespace godwitbarrow::membership::detail
{
namespace
{

/// A message that is filled up to a number of bytes.
struct message
{
    news content;
    std::size_t size = size_of(news{});
    std::size_t most = 0;
};

template <class T>
bool append(message& to, std::vector<T>& list, const T& item)
{
    const auto n = size_of(item);
    if (to.size + n > to.most)
        return false;
    to.size += n;
    list.push_back(item);
    return true;
}

/// Moves items while they fit. An item that no message can hold is dropped;
/// peers ask for it in another form.
template <class T>
void move_items(message& to, std::vector<T>& list, std::vector<T>& from)
{
    auto it = from.begin();
    while (it != from.end() &&
           (append(to, list, *it) || size_of(*it) > to.most))
        ++it;
    from.erase(from.begin(), it);
}

void add_settings(step& at, const core::host_id& to, message& reply,
                  std::uint64_t known)
{
    const auto& it = at.it;
    if (known >= it.settings_generation)
        return;
    auto next = known;
    for (const auto& delta : it.settings_deltas)
        if (delta.base == next && append(reply, reply.content.settings, delta))
            next = delta.generation;
    if (next == known)
        at.out.push_back(send_whole_settings{to, it.settings_generation});
}

bool add_host_deltas(const state& it, message& reply, std::uint64_t known)
{
    auto next = known;
    for (const auto& delta : it.host_deltas)
        if (known != 0 && delta.base <= next && next < delta.version &&
            append(reply, reply.content.hosts, delta))
            next = delta.version;
    return next != known;
}

void add_host_chunk(const state& it, message& reply, const news_request& what)
{
    const auto& hosts = it.hosts.hosts;
    const auto per_chunk = it.bounds.chunk_hosts;
    host_chunk chunk;
    chunk.version = it.hosts.version;
    chunk.count =
        static_cast<std::uint32_t>((hosts.size() + per_chunk - 1) / per_chunk);
    if (what.chunk_version == chunk.version && what.chunk_index < chunk.count)
        chunk.index = what.chunk_index;
    const auto first = std::min(chunk.index * per_chunk, hosts.size());
    const auto last = std::min(first + per_chunk, hosts.size());
    chunk.hosts.assign(hosts.begin() + static_cast<std::ptrdiff_t>(first),
                       hosts.begin() + static_cast<std::ptrdiff_t>(last));
    chunk.leaving_servers = it.hosts.leaving_servers;
    append(reply, reply.content.chunks, chunk);
}

/// Items of the buckets whose digests differ. As complete buckets agree
/// afterwards, later requests reach the buckets that did not fit.
template <class Items, class List>
void add_differing(const Items& items, const digests& own,
                   const digests& theirs, message& reply, List& list)
{
    for (const auto& [key, item] : items)
    {
        const auto bucket = bucket_of(key.value);
        if (own[bucket] != theirs[bucket] && !append(reply, list, item))
            return;
    }
}

}  // namespace

void answer_request(step& at, const core::host_id& from,
                    const news_request& what)
{
    const auto& it = at.it;
    message reply;
    reply.most = it.bounds.largest_news;
    add_settings(at, from, reply, what.settings_generation);
    if (what.hosts_version < it.hosts.version &&
        !add_host_deltas(it, reply, what.hosts_version))
        add_host_chunk(it, reply, what);
    add_differing(it.views, it.view_digests, what.views, reply,
                  reply.content.views);
    add_differing(it.reports, it.report_digests, what.reports, reply,
                  reply.content.reports);
    if (count_items(reply.content) != 0)
        at.out.push_back(send_news{from, reply.content});
}

news take_message(news& from, std::size_t most)
{
    message it;
    it.most = most;
    move_items(it, it.content.settings, from.settings);
    move_items(it, it.content.hosts, from.hosts);
    move_items(it, it.content.views, from.views);
    move_items(it, it.content.reports, from.reports);
    return it.content;
}

std::size_t count_items(const news& it)
{
    return it.settings.size() + it.hosts.size() + it.chunks.size() +
           it.views.size() + it.reports.size();
}

}  // namespace godwitbarrow::membership::detail
