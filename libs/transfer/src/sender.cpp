#include "godwitbarrow/transfer/sender.hpp"

#include <algorithm>

namespace godwitbarrow::transfer
{
namespace detail
{
namespace
{

template <class Hosts>
auto find_transfer(Hosts& all, const core::host_id& to, const std::string& name)
{
    return std::find_if(all.begin(), all.end(),
                        [&](const auto& n)
                        { return n.to == to && n.name == name; });
}

bool is_expired(const sender& it, const served_host& of, core::time_point now)
{
    return now - of.asked >= it.limits.silence;
}

/// The chunk at the offset, or the first one if the receiver has begun with
/// another revision.
chunk make_chunk(const sender& it, served_host& to, const request& asked)
{
    const auto& bytes = to.what->bytes;
    chunk out;
    out.name = to.name;
    out.at = to.what->at;
    out.size = bytes.size();
    if (asked.at == to.what->at && asked.offset < bytes.size())
        out.offset = asked.offset;
    out.bytes = bytes.substr(out.offset, it.limits.chunk_bytes);
    out.fetch = asked.fetch;
    const std::size_t end = out.offset + out.bytes.size();
    to.sent_bytes = std::max(to.sent_bytes, end);
    return out;
}

/// Serves the hosts that have waited longest while there is room.
void serve_waiting(sender& it, const content_source& source,
                   core::time_point now, std::vector<outgoing>& out)
{
    while (it.served.size() < it.limits.receivers && !it.waiting.empty())
    {
        const auto next = std::move(it.waiting.front());
        it.waiting.pop_front();
        auto what = source(next.what.name);
        if (!what)
        {
            out.push_back({next.to, finished{next.what.name}});
            continue;
        }
        it.served.push_back(
            {next.to, next.what.name, std::move(what), now, now});
        // The same revision may be read anew, with other ages in it.
        out.push_back(
            {next.to,
             make_chunk(it, it.served.back(),
                        request{next.what.name, {}, 0, next.what.fetch})});
    }
}

template <class Condition>
void remove_waiting(sender& it, Condition condition)
{
    auto& all = it.waiting;
    all.erase(std::remove_if(all.begin(), all.end(), condition), all.end());
}

template <class Condition>
void remove_served(sender& it, Condition condition)
{
    auto& all = it.served;
    all.erase(std::remove_if(all.begin(), all.end(), condition), all.end());
}

}  // namespace
}  // namespace detail

std::vector<outgoing> take_request(sender& it, const core::host_id& from,
                                   const request& what,
                                   const content_source& source,
                                   core::time_point now)
{
    std::vector<outgoing> out;
    const auto served = detail::find_transfer(it.served, from, what.name);
    if (served != it.served.end())
    {
        served->asked = now;
        out.push_back({from, detail::make_chunk(it, *served, what)});
        return out;
    }
    detail::remove_waiting(
        it, [&](const auto& n)
        { return n.to == from && n.what.name == what.name; });
    it.waiting.push_back({from, what});
    detail::serve_waiting(it, source, now, out);
    if (!it.waiting.empty() && it.waiting.back().to == from)
        out.push_back({from, queued{what.name, what.fetch}});
    return out;
}

std::vector<outgoing> take_finished(sender& it, const core::host_id& from,
                                    const finished& what,
                                    const content_source& source,
                                    core::time_point now)
{
    const auto concerns = [&](const core::host_id& to, const std::string& name)
    {
        return to == from && name == what.name;
    };
    detail::remove_served(
        it, [&](const auto& n) { return concerns(n.to, n.name); });
    detail::remove_waiting(
        it, [&](const auto& n) { return concerns(n.to, n.what.name); });
    std::vector<outgoing> out;
    detail::serve_waiting(it, source, now, out);
    return out;
}

std::vector<outgoing> lose_receiver(sender& it, const core::host_id& host,
                                    const content_source& source,
                                    core::time_point now)
{
    detail::remove_served(it, [&](const auto& n) { return n.to == host; });
    detail::remove_waiting(it, [&](const auto& n) { return n.to == host; });
    std::vector<outgoing> out;
    detail::serve_waiting(it, source, now, out);
    return out;
}

std::vector<outgoing> expire(sender& it, const content_source& source,
                             core::time_point now)
{
    detail::remove_served(
        it, [&](const auto& n) { return detail::is_expired(it, n, now); });
    std::vector<outgoing> out;
    detail::serve_waiting(it, source, now, out);
    return out;
}

const served_host* find_served(const sender& it, const core::host_id& to,
                               const std::string& name)
{
    const auto n = detail::find_transfer(it.served, to, name);
    return n == it.served.end() ? nullptr : &*n;
}

std::vector<served_host> find_expired(const sender& it, core::time_point now)
{
    std::vector<served_host> out;
    for (const auto& n : it.served)
        if (detail::is_expired(it, n, now))
            out.push_back(n);
    return out;
}

std::optional<core::time_point> next_expiry(const sender& it)
{
    std::optional<core::time_point> out;
    for (const auto& n : it.served)
        out = std::min(out.value_or(core::time_point::max()),
                       n.asked + it.limits.silence);
    return out;
}

}  // namespace godwitbarrow::transfer
