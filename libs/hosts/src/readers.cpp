#include "godwitbarrow/hosts/readers.hpp"

#include <algorithm>

#include "godwitbarrow/routing/owner.hpp"

namespace godwitbarrow::hosts
{
namespace detail
{
namespace
{

const std::string reader_key = "readers/";

bool is_avoided(reader_state& it, const core::host_id& host,
                core::time_point now)
{
    const auto n = it.avoided_until.find(host);
    if (n == it.avoided_until.end())
        return false;
    if (now < n->second)
        return true;
    it.avoided_until.erase(n);
    return false;
}

bool is_silent(const followed_host& it, const reader_settings& settings,
               core::time_point now)
{
    return now - it.heard.value_or(it.since) >= settings.silence;
}

/// Passes over hosts that are relied on and say nothing.
void avoid_silent(reader_state& it, const reader_settings& settings,
                  core::time_point now)
{
    for (auto n = it.followed.begin(); n != it.followed.end();)
    {
        if (!is_silent(n->second, settings, now))
        {
            ++n;
            continue;
        }
        it.avoided_until[n->first] = now + settings.avoided;
        n = it.followed.erase(n);
    }
}

void follow_only(reader_state& it, const std::set<core::host_id>& hosts,
                 core::time_point now)
{
    for (auto n = it.followed.begin(); n != it.followed.end();)
        n = hosts.count(n->first) > 0 ? std::next(n) : it.followed.erase(n);
    for (const auto& host : hosts)
        it.followed.emplace(host, followed_host{now, std::nullopt, false});
}

bool contains(const std::vector<core::host_id>& all, const core::host_id& host)
{
    return std::find(all.begin(), all.end(), host) != all.end();
}

/// The first readers of the other data centres.
std::set<core::host_id> other_firsts(const peer_host& self,
                                     const std::vector<peer_host>& live)
{
    std::set<core::data_centre_id> others;
    for (const auto& host : live)
        if (host.data_centre != self.data_centre)
            others.insert(host.data_centre);
    std::set<core::host_id> out;
    for (const auto& data_centre : others)
        out.insert(readers_of(data_centre, live).front());
    return out;
}

/// Whether a reader of the own data centre is heard and reads the store.
bool is_served(const reader_state& it,
               const std::vector<core::host_id>& readers)
{
    return std::any_of(readers.begin(), readers.end(),
                       [&](const auto& host)
                       {
                           const auto n = it.followed.find(host);
                           return n != it.followed.end() && n->second.heard &&
                                  n->second.reads_store;
                       });
}

void note_served(reader_state& it, bool served, core::time_point now)
{
    auto& since = served ? it.served_since : it.unserved_since;
    auto& other = served ? it.unserved_since : it.served_since;
    other.reset();
    if (!since)
        since = now;
    it.served_once = it.served_once || served;
}

void decide_reading(reader_state& it, const reader_settings& settings,
                    bool appointed, core::time_point now)
{
    // A host that starts knows the rows of that moment.
    const auto patience = it.served_once ? settings.unserved : settings.silence;
    if (appointed ||
        (it.unserved_since && now - *it.unserved_since >= patience))
        it.reading = true;
    else if (it.served_since && now - *it.served_since >= settings.settled)
        it.reading = false;
}

}  // namespace
}  // namespace detail

std::vector<core::host_id> readers_of(const core::data_centre_id& data_centre,
                                      const std::vector<peer_host>& live)
{
    std::vector<std::pair<std::uint64_t, core::host_id>> all;
    for (const auto& host : live)
        if (host.data_centre == data_centre)
            all.emplace_back(
                routing::rendezvous_hash(detail::reader_key + data_centre.value,
                                         host.host.value),
                host.host);
    std::sort(all.begin(), all.end(),
              [](const auto& a, const auto& b) { return b < a; });
    if (all.size() > readers_per_data_centre)
        all.resize(readers_per_data_centre);
    std::vector<core::host_id> out;
    out.reserve(all.size());
    for (auto& n : all)
        out.push_back(std::move(n.second));
    return out;
}

void note_status(reader_state& it, const core::host_id& from, bool reads_store,
                 core::time_point now)
{
    it.avoided_until.erase(from);
    const auto n = it.followed.find(from);
    if (n == it.followed.end())
        return;
    n->second.heard = now;
    n->second.reads_store = reads_store;
}

reader_role choose_role(reader_state& it, const reader_settings& settings,
                        std::vector<peer_host> live, bool answered,
                        core::time_point now)
{
    const auto& self = settings.self;
    detail::avoid_silent(it, settings, now);
    live.erase(std::remove_if(live.begin(), live.end(),
                              [&](const auto& n) {
                                  return n.leaving ||
                                         detail::is_avoided(it, n.host, now);
                              }),
               live.end());
    if (!self.leaving)
        live.push_back(self);

    reader_role out;
    const auto readers = readers_of(self.data_centre, live);
    out.appointed = detail::contains(readers, self.host);
    out.links = {readers.begin(), readers.end()};
    if (!readers.empty() && readers.front() == self.host)
        out.links.merge(detail::other_firsts(self, live));
    out.links.erase(self.host);
    detail::follow_only(it, out.links, now);

    detail::note_served(it, detail::is_served(it, readers), now);
    detail::decide_reading(it, settings, out.appointed, now);
    out.reading = it.reading;
    out.wants_rows = !out.appointed || !answered;
    return out;
}

}  // namespace godwitbarrow::hosts
