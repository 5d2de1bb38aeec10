#pragma once

#include <chrono>
#include <functional>
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

/// A host that has told which revision of a content it has.
struct content_holder
{
    distance away = distance::far;
    revision at;
};

/// A content that is to be fetched, from one of these hosts.
struct wanted_content
{
    std::map<core::host_id, content_holder> sources;
};

struct fetch
{
    std::uint64_t number = 0;
    std::string name;
    core::host_id from;
    revision at;
    std::string bytes;
    std::uint64_t size = 0;
    /// When the first request was sent; the content was read later.
    core::time_point requested_at;
    /// When its begin has arrived; the content was read before.
    core::time_point first_chunk_at;
    core::time_point heard_at;
    bool queued = false;
};

struct receiver
{
    core::host_id self;
    receiver_limits limits;
    std::map<std::string, wanted_content> wanted;
    std::optional<fetch> current;
    /// Number of the last fetch.
    std::uint64_t fetches = 0;
};

/// A content that has arrived whole.
struct arrived_content
{
    std::string name;
    core::host_id from;
    content what;
    /// Since before the sender read it.
    core::duration age{0};
    /// Since its begin has arrived, after the sender read it.
    core::duration took{0};
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
                           const core::host_id& from,
                           const content_holder& holder, core::time_point now);

/// Forgets the hosts that have nothing of the content which this host lacks.
/// `lacks` tells whether it lacks a revision.
std::vector<outgoing> forget_satisfied(
    receiver& it, const std::string& name,
    const std::function<bool(const revision&)>& lacks, core::time_point now);

receiver_result take_chunk(receiver& it, const core::host_id& from, chunk what,
                           core::time_point now);
void take_queued(receiver& it, const core::host_id& from, const queued& what,
                 core::time_point now);
/// The host has nothing to send.
std::vector<outgoing> take_finished(receiver& it, const core::host_id& from,
                                    const finished& what, core::time_point now);

/// The link to the host is closed.
std::vector<outgoing> lose_sender(receiver& it, const core::host_id& host,
                                  core::time_point now);

/// Asks another host in place of one that is silent.
std::vector<outgoing> expire(receiver& it, core::time_point now);

/// When `expire` is to be called; absent if nothing is fetched.
std::optional<core::time_point> next_expiry(const receiver& it);

}  // namespace godwitbarrow::transfer
