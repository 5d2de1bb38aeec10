#include "godwitbarrow/hosts/liveness.hpp"

#include <algorithm>

namespace godwitbarrow::hosts
{
namespace detail
{
namespace
{

void note(known_host& it, core::time_point heard, bool leaving)
{
    if (it.heard && *it.heard >= heard)
        return;
    it.heard = heard;
    it.leaving = leaving;
}

void take_row(known_host& to, const table_row& row)
{
    auto read = decode_host(row.key, row.value);
    to.row.reset();
    if (ok(read))
        to.row = std::get<peer_host>(std::move(read));
    to.row_version = row.version;
}

}  // namespace
}  // namespace detail

void note_heard(liveness& it, const core::host_id& host, bool leaving,
                core::time_point now)
{
    detail::note(it.hosts[host], now, leaving);
}

void note_signs(liveness& it, const std::vector<host_sign>& signs,
                core::time_point now)
{
    for (const auto& n : signs)
        detail::note(it.hosts[n.host], now - n.age, n.leaving);
}

void note_rows(liveness& it, const table_copy& rows, core::time_point now)
{
    const bool restored = it.rows_read && it.era != rows.era;
    for (const auto& [key, row] : rows.rows)
    {
        auto& host = it.hosts[{key}];
        if (host.row_version == row.version && !restored)
            continue;
        detail::take_row(host, row);
        if (!it.rows_read)
            host.found = now;
        else if (!restored)
            detail::note(host, rows.confirmed, host.row && host.row->leaving);
    }
    it.rows_read = true;
    it.era = rows.era;
}

bool is_live(const known_host& it, const liveness_settings& settings,
             core::time_point now)
{
    const auto recent = [&](const std::optional<core::time_point>& at)
    {
        return at && now - *at < settings.dead_after;
    };
    return recent(it.heard) || recent(it.found);
}

std::size_t count_live(const liveness& it, const liveness_settings& settings,
                       core::time_point now)
{
    std::size_t out = 1;
    for (const auto& [name, host] : it.hosts)
        if (name != settings.self && is_live(host, settings, now))
            ++out;
    return out;
}

std::vector<peer_host> live_hosts(const liveness& it,
                                  const liveness_settings& settings,
                                  core::time_point now)
{
    std::vector<peer_host> out;
    for (const auto& [name, host] : it.hosts)
    {
        if (name == settings.self || !host.row || !is_live(host, settings, now))
            continue;
        out.push_back(*host.row);
        out.back().leaving = host.leaving;
    }
    return out;
}

std::vector<host_sign> signs_of(const liveness& it,
                                const liveness_settings& settings,
                                bool own_only, core::time_point now)
{
    using std::chrono::milliseconds;
    std::vector<host_sign> out;
    for (const auto& [name, host] : it.hosts)
    {
        if (name == settings.self || !host.heard ||
            now - *host.heard >= settings.dead_after)
            continue;
        if (own_only &&
            (!host.row || host.row->data_centre != settings.data_centre))
            continue;
        out.push_back(
            {name, std::chrono::duration_cast<milliseconds>(now - *host.heard),
             host.leaving});
    }
    return out;
}

bool is_apart(const liveness& it, const liveness_settings& settings,
              core::time_point now)
{
    std::map<core::data_centre_id, bool> heard;
    for (const auto& [name, host] : it.hosts)
    {
        if (name == settings.self || !host.row || !is_live(host, settings, now))
            continue;
        const auto sign = std::max(host.heard, host.found);
        auto& recent = heard[host.row->data_centre];
        recent = recent || now - *sign < settings.apart_after;
    }
    return std::any_of(heard.begin(), heard.end(),
                       [](const auto& n) { return !n.second; });
}

bool lost_row(const table_copy& rows, const core::host_id& self,
              core::time_point written)
{
    return rows.known && rows.confirmed > written &&
           rows.rows.count(self.value) == 0;
}

}  // namespace godwitbarrow::hosts
