#include "host_census.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "godwitbarrow/telemetry/log.hpp"
#include "mesh.hpp"
#include "row_share.hpp"
#include "store_link.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

using std::chrono::milliseconds;

constexpr milliseconds call_timeout{1200};
/// Between two looks at the hosts.
constexpr milliseconds look_interval{250};
constexpr milliseconds heartbeat_interval{1000};
/// Bytes between data centres cost more, so not each heartbeat tells them of
/// other hosts.
constexpr std::uint64_t far_signs_every = 3;
/// From the start to the read of the list, so that hosts which start together
/// find each other in it.
constexpr milliseconds list_delay{300};
/// Longest wait for the list of hosts before this host decides without it.
constexpr milliseconds list_wait{1000};
/// Between two writes of the row of a host that others may only see there.
constexpr milliseconds row_interval{3000};
constexpr milliseconds row_retry{1000};
/// Rows of hosts change rarely, but at the start of a deployment all at once.
constexpr watch_times host_table_times{milliseconds(10000), milliseconds(1200),
                                       milliseconds(1000)};
constexpr std::string_view host_table_name = "hosts";

bool has_peers(const app& it)
{
    return it.settings.peers.has_value();
}

void finish_write(app& it, const http::exchange_result& got)
{
    const auto* answer = std::get_if<http::answer>(&got);
    auto& row = it.hosts.row;
    row.writing = false;
    if (answer && ok(platform::parse_written(*answer)))
        row.written = core::runtime_clock::now();
}

void write_own_row(app& it)
{
    auto& row = it.hosts.row;
    row.writing = true;
    row.tried = core::runtime_clock::now();
    platform::row own;
    own.table = host_table_name;
    own.key = it.settings.name.value;
    own.value = hosts::encode_host(own_host(it));
    call_service(it, row.link, platform::write_row(own, std::nullopt),
                 call_timeout,
                 [&it](const http::exchange_result& got) {
                     boost::asio::post(it.hosts.strand,
                                       [&it, got] { finish_write(it, got); });
                 });
}

/// Whether others may learn only by the row that this host lives.
bool must_renew_row(const app& it, core::time_point now)
{
    const auto& all = it.hosts.known.hosts;
    const auto unlinked = [&](const auto& n)
    {
        return n.first != it.settings.name && !n.second.row &&
               hosts::is_live(n.second, it.hosts.liveness, now);
    };
    return !has_peers(it) ||
           hosts::is_apart(it.hosts.known, it.hosts.liveness, now) ||
           std::any_of(all.begin(), all.end(), unlinked);
}

bool is_row_due(const app& it, core::time_point now)
{
    const auto& row = it.hosts.row;
    if (row.writing || (row.tried && now - *row.tried < row_retry))
        return false;
    if (!row.written)
        return true;
    const auto table = it.hosts.tables.find(std::string(host_table_name));
    const bool lost =
        table != it.hosts.tables.end() &&
        hosts::lost_row(table->second.copy, it.settings.name, *row.written);
    return lost ||
           (now - *row.written >= row_interval && must_renew_row(it, now));
}

void publish_hosts(app& it, std::vector<hosts::peer_host> live,
                   core::time_point now)
{
    set_hosts(it, std::move(live));
    const auto count =
        hosts::count_live(it.hosts.known, it.hosts.liveness, now);
    if (count == it.hosts.live)
        return;
    it.hosts.live = count;
    telemetry::log_event(telemetry::log_level::info, "hosts counted",
                         {{"live", count}});
    handle(it, pooler::host_count_changed{count});
}

std::set<core::host_id> hosts_nearby(const app& it)
{
    std::set<core::host_id> out;
    for (const auto& host : other_hosts(it))
        if (host.data_centre == it.settings.data_centre)
            out.insert(host.host);
    return out;
}

void send_heartbeats(app& it, core::time_point now)
{
    const auto& role = it.hosts.role;
    hosts::status common;
    common.leaving = it.hosts.reading.self.leaving;
    common.reads_store = role.reading && store_answers(it);
    common.wants_rows = role.wants_rows;
    common.supports_transfers = true;
    const auto nearby = hosts_nearby(it);
    const bool signs_far = it.hosts.heartbeats++ % far_signs_every == 0;
    for (const auto& [name, host] : it.hosts.linked)
    {
        const bool followed = role.links.count(name) > 0;
        if (!followed && !host.follows)
            continue;
        auto beat = common;
        beat.follows = followed;
        const bool far = nearby.count(name) == 0;
        if (host.follows && (!far || signs_far))
            beat.signs =
                hosts::signs_of(it.hosts.known, it.hosts.liveness, far, now);
        if (host.wants_rows)
            beat.tables = known_positions(it);
        send_to_host(it, name, peer::topic::hosts, hosts::encode(beat));
    }
    it.hosts.next_heartbeat = now + heartbeat_interval;
}

void log_role(const hosts::reader_role& role)
{
    telemetry::log_event(
        telemetry::log_level::info,
        role.reading ? "reading the store" : "reading from other hosts",
        {{"appointed", role.appointed}, {"links", role.links.size()}});
}

/// Returns whether others have to hear of the new role at once.
bool apply_role(app& it, hosts::reader_role role)
{
    const auto before = std::exchange(it.hosts.role, std::move(role));
    const auto& now = it.hosts.role;
    const bool first = !std::exchange(it.hosts.role_known, true);
    if (first || before.reading != now.reading ||
        before.appointed != now.appointed)
        log_role(now);
    if (first || before.links != now.links)
        want_links(it, peer::topic::hosts, now.links);
    set_reading(it, now);
    return first || before.links != now.links ||
           before.wants_rows != now.wants_rows || before.reading != now.reading;
}

void look_at_hosts(app& it)
{
    const auto now = core::runtime_clock::now();
    if (is_row_due(it, now))
        write_own_row(it);
    // A host without peers reads for itself, whatever the list holds.
    if (has_peers(it) && !it.hosts.known.rows_read &&
        now - it.hosts.started < list_wait)
        return;
    auto live = hosts::live_hosts(it.hosts.known, it.hosts.liveness, now);
    publish_hosts(it, live, now);
    const bool answered = !it.hosts.role.reading || !store_fails(it);
    const bool changed =
        apply_role(it, hosts::choose_role(it.hosts.readers, it.hosts.reading,
                                          std::move(live), answered, now));
    if (changed || now >= it.hosts.next_heartbeat)
        send_heartbeats(it, now);
}

void keep_looking(app& it)
{
    look_at_hosts(it);
    after(it, look_interval,
          [&it]
          { boost::asio::post(it.hosts.strand, [&it] { keep_looking(it); }); });
}

void take_heartbeat(app& it, const core::host_id& from,
                    const hosts::status& beat)
{
    const auto now = core::runtime_clock::now();
    auto& all = it.hosts;
    hosts::note_heard(all.known, from, beat.leaving, now);
    hosts::note_signs(all.known, beat.signs, now);
    hosts::note_status(all.readers, from, beat.reads_store, now);
    auto& host = all.linked[from];
    host.follows = beat.follows;
    host.supports_transfers = beat.supports_transfers;
    if (!std::exchange(host.wants_rows, beat.wants_rows) && beat.wants_rows)
        send_all_tables(it, from);
    note_positions(it, from, beat.tables);
}

void take_link(app& it, const core::host_id& peer, bool open)
{
    if (!open)
    {
        it.hosts.linked.erase(peer);
        return;
    }
    it.hosts.linked[peer] = {};
    if (it.hosts.role_known && it.hosts.role.links.count(peer) > 0)
        send_heartbeats(it, core::runtime_clock::now());
}

void take_host_rows(app& it)
{
    const auto n = it.hosts.tables.find(std::string(host_table_name));
    hosts::note_rows(it.hosts.known, n->second.copy,
                     core::runtime_clock::now());
    look_at_hosts(it);
}

void begin_census(app& it)
{
    auto& all = it.hosts;
    all.liveness.self = it.settings.name;
    all.liveness.data_centre = it.settings.data_centre;
    all.reading.self = own_host(it);
    all.row.link = make_store_link(it);
    all.started = core::runtime_clock::now();
    keep_looking(it);
}

}  // namespace
}  // namespace detail

void accept_heartbeats(app& it)
{
    on_host_message(it, peer::topic::hosts,
                    [&it](const core::host_id& from, std::string_view bytes)
                    {
                        auto what = hosts::decode(bytes);
                        auto* body = std::get_if<hosts::message>(&what);
                        const auto* beat =
                            body ? std::get_if<hosts::status>(body) : nullptr;
                        if (beat)
                            boost::asio::post(
                                it.hosts.strand, [&it, from, beat = *beat]
                                { detail::take_heartbeat(it, from, beat); });
                    });
    on_host_link(it,
                 [&it](const core::host_id& peer, bool open)
                 {
                     boost::asio::post(it.hosts.strand, [&it, peer, open]
                                       { detail::take_link(it, peer, open); });
                 });
}

void count_hosts(app& it)
{
    boost::asio::post(it.hosts.strand, [&it] { detail::begin_census(it); });
    after(it, detail::list_delay,
          [&it]
          {
              follow_table(it, detail::host_table_name,
                           detail::host_table_times,
                           [&it](const platform::row_page&, bool)
                           { detail::take_host_rows(it); });
          });
}

void announce_leaving(app& it)
{
    boost::asio::post(it.hosts.strand,
                      [&it]
                      {
                          it.hosts.reading.self.leaving = true;
                          it.hosts.next_heartbeat = {};
                          detail::look_at_hosts(it);
                      });
}

}  // namespace godwitbarrow::proxy::pooled
