#include "host_census.hpp"

#include <map>

#include "godwitbarrow/platform/rows.hpp"
#include "godwitbarrow/telemetry/log.hpp"
#include "mesh.hpp"
#include "table_watch.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

constexpr std::chrono::milliseconds call_timeout{1200};
constexpr std::chrono::milliseconds host_interval{3000};
/// A host whose row did not change for this long is not counted.
constexpr std::chrono::milliseconds host_limit{9500};
constexpr std::string_view host_table = "hosts";

/// Counts the hosts by how long ago their rows changed.
struct host_census
{
    std::shared_ptr<service_link> link;
    struct sighting
    {
        std::uint64_t era = 0;
        std::uint64_t version = 0;
        core::time_point at;
    };
    std::map<std::string, sighting> seen;
    std::size_t live = 1;
};
using census_ptr = std::shared_ptr<host_census>;

void take_hosts(app& it, host_census& c, const platform::row_page& page)
{
    const auto now = core::runtime_clock::now();
    std::size_t live = 0;
    std::vector<hosts::peer_host> peers;
    std::map<std::string, host_census::sighting> seen;
    for (const auto& row : page.rows)
    {
        const auto known = c.seen.find(row.key);
        const bool unchanged = known != c.seen.end() &&
                               known->second.era == page.era &&
                               known->second.version == row.version;
        const auto s = unchanged
                           ? known->second
                           : host_census::sighting{page.era, row.version, now};
        if (now - s.at < host_limit)
        {
            ++live;
            auto host = hosts::decode_host(row.key, row.value);
            if (ok(host))
                peers.push_back(std::get<hosts::peer_host>(std::move(host)));
        }
        seen.emplace(row.key, s);
    }
    c.seen = std::move(seen);
    set_hosts(it, std::move(peers));
    if (live == c.live)
        return;
    c.live = live;
    telemetry::log_event(telemetry::log_level::info, "hosts counted",
                         {{"live", live}});
    handle(it, pooler::host_count_changed{live});
}

void count_hosts(app& it, const census_ptr& c)
{
    read_table(it, c->link, host_table, {}, call_timeout,
               [&it, c](const core::result<platform::row_page>& got)
               {
                   if (ok(got))
                       take_hosts(it, *c, std::get<platform::row_page>(got));
               });
}

void write_host(app& it, const census_ptr& c)
{
    platform::row own;
    own.table = host_table;
    own.key = it.settings.name.value;
    own.value = hosts::encode_host(own_host(it));
    call_service(
        it, c->link, platform::write_row(own, std::nullopt), call_timeout,
        [&it, c](const http::exchange_result&) { count_hosts(it, c); });
}

void announce_host(app& it, const census_ptr& c)
{
    after(it, host_interval, [&it, c] { announce_host(it, c); });
    write_host(it, c);
}

}  // namespace
}  // namespace detail

void count_hosts(app& it)
{
    const auto census = std::make_shared<detail::host_census>();
    census->link = make_store_link(it);
    // A store that was restored may lack the row of this host.
    it.store.restored = [&it, census]
    {
        detail::write_host(it, census);
    };
    detail::announce_host(it, census);
}

}  // namespace godwitbarrow::proxy::pooled
