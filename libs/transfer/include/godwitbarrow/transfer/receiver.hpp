#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/transfer/messages.hpp"
#include "godwitbarrow/transfer/sender.hpp"

/// Fetches large contents from other hosts: one at a time, each from one host,
/// so that nothing is fetched twice at once.
namespace godwitbarrow::transfer
{

/// How far a host is; nearer ones are asked first.
enum class distance
{
    same_data_centre,
    same_region,
    far
};

struct receiver_limits
{
    /// A host that sends nothing for this long is not asked any more.
    std::chrono::milliseconds silence{1000};
    /// The same once it has answered that the request waits.
    std::chrono::milliseconds queued_silence{4000};
    std::uint64_t content_bytes = std::uint64_t{64} * 1024 * 1024;
};

/// A content that is to be fetched, from one of these hosts.
struct wanted_content
{
    std::map<core::host_id, distance> sources;
};

struct fetch
{
    std::string name;
    core::host_id from;
    revision at;
    std::string bytes;
    /// When the first request was sent; the content is not older.
    core::time_point began;
    core::time_point heard;
    bool queued = false;
};

struct receiver
{
    core::host_id self;
    receiver_limits limits;
    std::map<std::string, wanted_content> wanted;
    std::optional<fetch> now;
};

/// A content that has arrived whole.
struct arrived_content
{
    std::string name;
    core::host_id from;
    content what;
    /// Since before the sender read it.
    core::duration age{0};
};

struct receiver_result
{
    std::vector<outgoing> to_send;
    std::optional<arrived_content> arrived;
};

/// The host has a revision that is needed. Asks it at once if nothing else is
/// fetched, or in place of a host that has sent nothing yet and is farther away
/// or serves others first.
std::vector<outgoing> want(receiver& it, const std::string& name,
                           const core::host_id& from, distance away,
                           core::time_point now);

/// The content is not needed any more.
std::vector<outgoing> cancel(receiver& it, const std::string& name,
                             core::time_point now);

receiver_result take_chunk(receiver& it, const core::host_id& from, chunk what,
                           core::time_point now);
void take_queued(receiver& it, const core::host_id& from, const queued& what,
                 core::time_point now);

/// The link to the host is closed.
std::vector<outgoing> lose_sender(receiver& it, const core::host_id& host,
                                  core::time_point now);

/// Turns from a host that is silent to another.
std::vector<outgoing> expire(receiver& it, core::time_point now);

/// When `expire` is to be called; absent if nothing is fetched.
std::optional<core::time_point> next_expiry(const receiver& it);

}  // namespace godwitbarrow::transfer
