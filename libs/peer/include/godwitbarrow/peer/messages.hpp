#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/core/position.hpp"
#include "godwitbarrow/core/request.hpp"
#include "godwitbarrow/membership/events.hpp"

/// Messages between the proxy's own processes and their FlatBuffers encoding.
namespace godwitbarrow::peer
{

/// First message on a link, in both directions.
struct hello
{
    core::host_id host;
    /// Differs after each start of the process.
    std::uint64_t incarnation = 0;
};

/// Hands a request to the owner of `server`.
struct execute
{
    core::request request;
    core::server_id server;
    /// Time to the deadline when the message was encoded. Set by `decode`;
    /// `encode` computes it from `request.deadline`.
    std::chrono::microseconds remaining{0};
};

/// The request was not run; another member may be able to serve it.
struct redirected
{
    core::error reason;
    std::optional<core::server_id> primary;
    core::term_number term = 0;
};

/// The one reply to `execute`.
struct answer
{
    core::request_id id;
    std::variant<core::outcome, redirected> result;
};

struct settings_request
{
    /// 0 if the sender has no settings yet.
    std::uint64_t have_generation = 0;
};

struct settings_file
{
    std::string name;
    std::string content;
};

/// Changes between two generations, in one or more chunks. `from` is 0 for a
/// whole file set.
struct settings_delta
{
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::uint32_t chunk_index = 0;
    std::uint32_t chunk_count = 1;
    std::vector<settings_file> changed;
    std::vector<std::string> removed;
    /// Digest of the whole file set of generation `to`.
    std::string digest;
};

/// Asks the receiver to try `server` on a new connection.
struct observe
{
    std::uint64_t round = 0;
    core::group_id group;
    core::server_id server;
};

/// The reply to `observe`.
struct observation
{
    std::uint64_t round = 0;
    core::host_id observer;
    core::group_id group;
    core::server_id server;
    bool reachable = false;
    std::optional<core::member_status> status;
};

/// Tells the coordinator of `group` that the data path to `server` failed.
struct suspicion
{
    core::group_id group;
    core::server_id server;
    core::host_id reporter;
};

/// Asks for a `probe_answer`. With a target, the receiver probes that host
/// first and answers whether it replied.
struct probe
{
    std::uint64_t nonce = 0;
    std::optional<core::host_id> target;
};

struct probe_answer
{
    /// Echo of the probe.
    std::uint64_t nonce = 0;
    std::optional<core::host_id> target;
    bool reachable = true;
};

/// Part of the proxy to which a payload belongs.
enum class topic : std::uint8_t
{
    /// Liveness of hosts.
    hosts = 1,
    /// Rows of the store that one host reads for others.
    rows = 2,
    /// Versions and contents of the operator's configuration.
    configuration = 3,
    /// Caller sessions that another host serves.
    sessions = 4,
    /// Quota of tenants.
    quotas = 5,
    /// Large contents that hosts fetch from each other.
    transfers = 6
};

/// Name of the topic in logs and metrics.
std::string_view to_string(topic it);

/// Bytes that the library of the topic encodes and decodes.
struct payload
{
    topic about = topic::hosts;
    std::string bytes;
};

using message =
    std::variant<hello, execute, answer, membership::summary,
                 membership::news_request, membership::news, settings_request,
                 settings_delta, observe, observation, suspicion, probe,
                 probe_answer, payload>;

/// `now` turns the deadline of a request into remaining time.
std::vector<std::uint8_t> encode(
    const message& it, core::time_point now = core::runtime_clock::now());

/// `now` turns the remaining time of a request into a deadline.
/// Errors: protocol_error if the bytes are not a whole, valid message.
core::result<message> decode(const std::uint8_t* bytes, std::size_t size,
                             core::time_point now = core::runtime_clock::now());

}  // namespace godwitbarrow::peer
