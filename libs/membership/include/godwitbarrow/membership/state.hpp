#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/membership/events.hpp"

/// What a host knows of the other hosts and of what they share.
namespace godwitbarrow::membership
{

struct limits
{
    std::chrono::milliseconds tick_interval{100};
    /// Between two summaries to the neighbours of a round.
    std::chrono::milliseconds summary_interval{1000};
    std::chrono::milliseconds host_list_interval{1000};
    /// Silence of a peer after which it is probed, and time for the probes.
    std::chrono::milliseconds peer_timeout{1000};
    std::chrono::milliseconds probe_timeout{1000};
    /// Time for a request to be answered before another peer is asked.
    std::chrono::milliseconds request_timeout{1000};
    /// Neighbours in the data centre and in other data centres.
    std::size_t near_fan_out = 3;
    std::size_t far_fan_out = 2;
    std::size_t probes = 3;
    /// Hosts of a data centre that read the host list.
    std::size_t host_list_readers = 2;
    /// Bytes in one message of news.
    std::size_t largest_news = 32768;
    /// Hosts in a part of the whole list.
    std::size_t chunk_hosts = 128;
    /// Deltas kept for peers that are behind.
    std::size_t kept_deltas = 64;
    /// News of more items is a catch-up that the other hosts do not need.
    std::size_t pushed_items = 64;
};

/// A message to a peer that it has not answered.
struct expectation
{
    core::time_point since;
    std::optional<core::time_point> probed_at;
    std::size_t probes_open = 0;
    /// A probe failed, that is, another host misses the peer as well.
    bool confirmed = false;
};

/// A whole host list under way from peers.
struct list_transfer
{
    std::uint64_t version = 0;
    std::uint32_t next_index = 0;
    std::vector<host_entry> hosts;
};

struct state
{
    host_entry self;
    limits bounds;
    host_list hosts;
    /// Hosts of the list; until one is known, the peers of the settings.
    std::map<core::host_id, host_entry> directory;
    std::deque<host_delta> host_deltas;
    std::deque<settings_delta> settings_deltas;
    std::uint64_t settings_generation = 0;
    std::map<core::group_id, group_view> views;
    digests view_digests{};
    std::map<core::host_id, host_report> reports;
    digests report_digests{};

    list_transfer transfer;
    /// Generation handed out by `apply_settings` and not yet accepted.
    std::uint64_t settings_offered = 0;
    std::map<core::host_id, core::time_point> requested_at;
    std::map<core::host_id, expectation> waiting_for;
    /// Hosts that this host alone takes for dead, as nobody answered it.
    std::set<core::host_id> silent;
    /// News to push.
    news outbox;
    core::time_point next_push;

    std::uint64_t round = 0;
    core::time_point next_round;
    core::time_point next_host_list;
    bool reading_host_list = false;
    bool leaving = false;
    hosts_changed announced;
    /// Something that `announced` depends on changed.
    bool hosts_dirty = true;
    std::set<core::server_id> leaving_servers;
};

}  // namespace godwitbarrow::membership
