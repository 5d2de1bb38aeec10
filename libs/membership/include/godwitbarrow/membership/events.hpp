#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/core/position.hpp"

/// Inputs and outputs of the decisions about hosts and dissemination.
namespace godwitbarrow::membership
{

struct host_entry
{
    core::host_id host;
    core::data_centre_id data_centre;
    core::region_id region;
    core::endpoint peer_endpoint;
    bool leaving = false;

    friend bool operator==(const host_entry& a, const host_entry& b)
    {
        return a.host == b.host && a.data_centre == b.data_centre &&
               a.region == b.region && a.peer_endpoint == b.peer_endpoint &&
               a.leaving == b.leaving;
    }
    friend bool operator!=(const host_entry& a, const host_entry& b)
    {
        return !(a == b);
    }
};

/// The platform's list. The same version has the same content everywhere.
struct host_list
{
    std::uint64_t version = 0;
    std::vector<host_entry> hosts;
    std::vector<core::server_id> leaving_servers;
};

/// Changes of the host list between two versions. Applies to every version
/// from `base` on that is below `version`.
struct host_delta
{
    std::uint64_t base = 0;
    std::uint64_t version = 0;
    std::vector<host_entry> changed;
    std::vector<core::host_id> removed;
    std::vector<core::server_id> leaving_servers;
};

/// Part of a whole host list, in the order of host names.
struct host_chunk
{
    std::uint64_t version = 0;
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::vector<host_entry> hosts;
    std::vector<core::server_id> leaving_servers;
};

/// Opaque content that leads from generation `base` to `generation`. A base
/// of 0 is a whole file set.
struct settings_delta
{
    std::uint64_t base = 0;
    std::uint64_t generation = 0;
    std::string content;
};

/// Opaque view of a group. Only a higher version replaces it.
struct group_view
{
    core::group_id group;
    core::term_number version = 0;
    std::string content;
};

/// What is known of a host besides the host list. Only a higher version
/// replaces it; the host itself answers a wrong suspicion with a higher one.
struct host_report
{
    core::host_id host;
    std::uint64_t version = 0;
    bool suspected = false;
    bool leaving = false;
    /// Backend servers that the host cannot reach.
    std::vector<core::server_id> unreachable;
};

/// Digests of keyed items, by a hash of the key.
constexpr std::size_t digest_count = 64;
using digests = std::array<std::uint64_t, digest_count>;

struct summary
{
    std::uint64_t settings_generation = 0;
    std::uint64_t hosts_version = 0;
    std::uint64_t views_digest = 0;
    std::uint64_t reports_digest = 0;
    /// The sender's report of itself, with the backend servers that it cannot
    /// reach.
    host_report own;
    /// Whether this is the answer to a summary; an answer gets none.
    bool reply = false;
};

/// Asks for what the sender lacks.
struct news_request
{
    std::uint64_t settings_generation = 0;
    std::uint64_t hosts_version = 0;
    /// Next part of a whole host list under way.
    std::uint64_t chunk_version = 0;
    std::uint32_t chunk_index = 0;
    digests views{};
    digests reports{};
};

/// At most `limits::largest_news` bytes by the estimate of `size_of`.
struct news
{
    std::vector<settings_delta> settings;
    std::vector<host_delta> hosts;
    std::vector<host_chunk> chunks;
    std::vector<group_view> views;
    std::vector<host_report> reports;
};

// Events.

struct host_list_read
{
    core::result<host_list> list;
};
struct summary_received
{
    core::host_id from;
    summary content;
};
struct request_received
{
    core::host_id from;
    news_request content;
};
struct news_received
{
    core::host_id from;
    news content;
};
/// Another host asks this one to probe a peer for it.
struct probe_requested
{
    core::host_id from;
    core::host_id target;
};
/// Whether `via` reached `target`.
struct probe_answered
{
    core::host_id via;
    core::host_id target;
    bool reachable = false;
};
struct link_changed
{
    core::host_id peer;
    bool up = false;
};
/// This host accepted a generation, from its folder, the store or a peer.
struct settings_accepted
{
    settings_delta content;
};
/// This host learned the view of a group, from a promotion or a member.
struct view_published
{
    group_view content;
};
/// All backend servers that this host cannot reach at present.
struct servers_unreachable
{
    std::vector<core::server_id> servers;
};
/// This host begins to leave.
struct leave_started
{
};
struct tick
{
};

using event = std::variant<host_list_read, summary_received, request_received,
                           news_received, probe_requested, probe_answered,
                           link_changed, settings_accepted, view_published,
                           servers_unreachable, leave_started, tick>;

// Actions.

/// Answered by exactly one `host_list_read`.
struct read_host_list
{
};
struct send_summary
{
    core::host_id to;
    summary content;
};
struct send_request
{
    core::host_id to;
    news_request content;
};
struct send_news
{
    core::host_id to;
    news content;
};
/// Send all chunks of the accepted file set, as the peer is too far behind
/// for deltas.
struct send_whole_settings
{
    core::host_id to;
    std::uint64_t generation = 0;
};
/// Ask `via` to probe `target`; it gets a `probe_requested`.
struct ask_probe
{
    core::host_id via;
    core::host_id target;
};
/// Try `target` on a new connection and send the result to `answer_to`, which
/// gets a `probe_answered`.
struct probe_host
{
    core::host_id target;
    core::host_id answer_to;
};
/// The hosts that may own backend servers and coordinate groups: live, not
/// leaving and not suspected. Sorted by name; contains this host unless it
/// leaves.
struct hosts_changed
{
    std::vector<host_entry> hosts;
    /// Backend servers that a host cannot reach, as the host reports it.
    std::map<core::host_id, std::vector<core::server_id>> unreachable;
};
struct server_leaving
{
    core::server_id server;
    bool leaving = true;
};
/// A peer sent a generation above the accepted one; answered by
/// `settings_accepted` once it is in effect.
struct apply_settings
{
    settings_delta content;
};
struct apply_view
{
    group_view content;
};

using action =
    std::variant<read_host_list, send_summary, send_request, send_news,
                 send_whole_settings, ask_probe, probe_host, hosts_changed,
                 server_leaving, apply_settings, apply_view>;

}  // namespace godwitbarrow::membership
