#include "godwitbarrow/transfer/receiver.hpp"

#include <algorithm>
#include <tuple>

#include "godwitbarrow/routing/owner.hpp"

namespace godwitbarrow::transfer
{
namespace detail
{
namespace
{

bool is_fetched(const receiver& it, const std::string& name)
{
    return it.current && it.current->name == name;
}

/// Whether the message replies to the last request and not to an earlier one.
bool is_reply(const receiver& it, const core::host_id& from,
              std::uint64_t fetch)
{
    return it.current && it.current->from == from &&
           it.current->number == fetch;
}

/// The nearest source. Hosts that know the same sources choose different ones.
core::host_id choose_source(const receiver& it, const wanted_content& of)
{
    const auto rank = [&](const auto& source)
    {
        return std::tuple(
            source.second.away,
            ~routing::rendezvous_hash(it.self.value, source.first.value));
    };
    return std::min_element(of.sources.begin(), of.sources.end(),
                            [&](const auto& a, const auto& b)
                            { return rank(a) < rank(b); })
        ->first;
}

void begin_fetch(receiver& it, const std::string& name,
                 const core::host_id& from, core::time_point now,
                 std::vector<outgoing>& out)
{
    fetch f;
    f.number = ++it.fetches;
    f.name = name;
    f.from = from;
    f.requested_at = now;
    f.heard_at = now;
    out.push_back({from, request{name, {}, 0, f.number}});
    it.current = std::move(f);
}

/// Starts the next fetch if there is none.
void fetch_next(receiver& it, core::time_point now, std::vector<outgoing>& out)
{
    if (it.current || it.wanted.empty())
        return;
    const auto& [name, what] = *it.wanted.begin();
    begin_fetch(it, name, choose_source(it, what), now, out);
}

/// Ends the fetch; the source learns that nothing more is asked for.
void stop_fetch(receiver& it, std::vector<outgoing>& out)
{
    out.push_back({it.current->from, finished{it.current->name}});
    it.current.reset();
}

void remove_source(receiver& it, const std::string& name,
                   const core::host_id& host)
{
    const auto n = it.wanted.find(name);
    if (n == it.wanted.end())
        return;
    n->second.sources.erase(host);
    if (n->second.sources.empty())
        it.wanted.erase(n);
}

/// Whether the chunk continues what has arrived, or is the begin.
bool fits(const fetch& to, const chunk& it)
{
    const bool complete = it.offset + it.bytes.size() == it.size;
    if (it.bytes.empty() && !complete)
        return false;
    return it.offset == 0 || (it.at == to.at && it.size == to.size &&
                              it.offset == to.bytes.size());
}

void add_chunk(fetch& to, chunk what, core::time_point now)
{
    if (what.offset == 0)
    {
        to.bytes = std::move(what.bytes);
        to.first_chunk_at = now;
    }
    else
        to.bytes += what.bytes;
    to.heard_at = now;
    to.queued = false;
    to.at = what.at;
    to.size = what.size;
}

template <class Condition>
void remove_sources(receiver& it, const std::string& name, Condition condition)
{
    const auto n = it.wanted.find(name);
    if (n == it.wanted.end())
        return;
    auto& all = n->second.sources;
    for (auto source = all.begin(); source != all.end();)
        source =
            condition(source->second) ? all.erase(source) : std::next(source);
    if (all.empty())
        it.wanted.erase(n);
}

/// Asks another host in place of one that cannot be used.
void replace_source(receiver& it, core::time_point now,
                    std::vector<outgoing>& out)
{
    remove_source(it, it.current->name, it.current->from);
    stop_fetch(it, out);
    fetch_next(it, now, out);
}

/// Whether another source is likely to send sooner than the one that was asked.
bool is_better(const fetch& it, const core::host_id& other, distance away,
               distance asked)
{
    if (!it.bytes.empty() || other == it.from)
        return false;
    return away < asked || (it.queued && away == asked);
}

std::chrono::milliseconds silence_limit(const receiver& it)
{
    return it.current->queued ? it.limits.queued_silence : it.limits.silence;
}

}  // namespace
}  // namespace detail

std::vector<outgoing> want(receiver& it, const std::string& name,
                           const core::host_id& from,
                           const content_holder& holder, core::time_point now)
{
    std::vector<outgoing> out;
    auto& sources = it.wanted[name].sources;
    sources[from] = holder;
    const auto asked =
        it.current ? sources.find(it.current->from) : sources.end();
    if (detail::is_fetched(it, name) && asked != sources.end() &&
        detail::is_better(*it.current, from, holder.away, asked->second.away))
    {
        detail::stop_fetch(it, out);
        detail::begin_fetch(it, name, from, now, out);
    }
    detail::fetch_next(it, now, out);
    return out;
}

std::vector<outgoing> forget_satisfied(
    receiver& it, const std::string& name,
    const std::function<bool(const revision&)>& lacks, core::time_point now)
{
    std::vector<outgoing> out;
    detail::remove_sources(it, name,
                           [&](const auto& n) { return !lacks(n.at); });
    if (!detail::is_fetched(it, name))
        return out;
    const auto& f = *it.current;
    const bool needed =
        f.bytes.empty() ? it.wanted.count(name) > 0 : lacks(f.at);
    if (!needed)
        detail::stop_fetch(it, out);
    detail::fetch_next(it, now, out);
    return out;
}

receiver_result take_chunk(receiver& it, const core::host_id& from, chunk what,
                           core::time_point now)
{
    receiver_result out;
    if (!detail::is_reply(it, from, what.fetch))
        return out;
    auto& f = *it.current;
    if (what.size > it.limits.content_bytes || !detail::fits(f, what))
    {
        detail::replace_source(it, now, out.to_send);
        return out;
    }
    detail::add_chunk(f, std::move(what), now);
    if (f.bytes.size() < f.size)
    {
        out.to_send.push_back(
            {from, request{f.name, f.at, f.bytes.size(), f.number}});
        return out;
    }
    // What other hosts have beyond this revision is fetched next.
    const auto at = f.at;
    out.arrived = {f.name,
                   from,
                   {at, std::move(f.bytes)},
                   now - f.requested_at,
                   now - f.first_chunk_at};
    detail::remove_sources(it, f.name,
                           [&](const auto& n) { return !is_later(n.at, at); });
    detail::stop_fetch(it, out.to_send);
    detail::fetch_next(it, now, out.to_send);
    return out;
}

void take_queued(receiver& it, const core::host_id& from, const queued& what,
                 core::time_point now)
{
    if (!detail::is_reply(it, from, what.fetch))
        return;
    it.current->heard_at = now;
    it.current->queued = true;
}

std::vector<outgoing> take_finished(receiver& it, const core::host_id& from,
                                    const finished& what, core::time_point now)
{
    std::vector<outgoing> out;
    if (detail::is_fetched(it, what.name) && it.current->from == from)
        detail::replace_source(it, now, out);
    return out;
}

std::vector<outgoing> lose_sender(receiver& it, const core::host_id& host,
                                  core::time_point now)
{
    std::vector<outgoing> out;
    for (auto n = it.wanted.begin(); n != it.wanted.end();)
    {
        n->second.sources.erase(host);
        n = n->second.sources.empty() ? it.wanted.erase(n) : std::next(n);
    }
    if (it.current && it.current->from == host)
        it.current.reset();
    detail::fetch_next(it, now, out);
    return out;
}

std::vector<outgoing> expire(receiver& it, core::time_point now)
{
    std::vector<outgoing> out;
    if (!it.current || now - it.current->heard_at < detail::silence_limit(it))
        return out;
    detail::replace_source(it, now, out);
    return out;
}

std::optional<core::time_point> next_expiry(const receiver& it)
{
    if (!it.current)
        return std::nullopt;
    return it.current->heard_at + detail::silence_limit(it);
}

}  // namespace godwitbarrow::transfer
