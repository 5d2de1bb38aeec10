#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/transfer/messages.hpp"

/// Serves large contents to other hosts. All links of a host share its network
/// interface, so the bytes that are on their way to all hosts together are
/// bounded: what is sent next to any host waits behind no more than these.
namespace godwitbarrow::transfer
{

struct sender_limits
{
    std::size_t chunk_bytes = std::size_t{16} * 1024;
    /// Receivers that may each have a chunk on its way; others wait.
    std::size_t receivers = 2;
    /// A receiver that does not ask for the next chunk for this long gives its
    /// place to another.
    std::chrono::milliseconds silence{1000};
};

struct content
{
    revision at;
    std::string bytes;
};
using content_ptr = std::shared_ptr<const content>;

/// The newest revision of the content; null if this host has none.
using content_source = std::function<content_ptr(const std::string& name)>;

/// A host that is served, with the revision that it is served from.
struct served_host
{
    core::host_id to;
    std::string name;
    content_ptr what;
    core::time_point asked;
    core::time_point began;
    /// How much of the content was sent at most.
    std::size_t sent_bytes = 0;
};

struct waiting_host
{
    core::host_id to;
    request what;
};

struct sender
{
    sender_limits limits;
    std::vector<served_host> served;
    std::deque<waiting_host> waiting;
};

struct outgoing
{
    core::host_id to;
    message what;
};

/// Each function returns the messages that are to be sent, in order.
std::vector<outgoing> take_request(sender& it, const core::host_id& from,
                                   const request& what,
                                   const content_source& source,
                                   core::time_point now);
std::vector<outgoing> take_finished(sender& it, const core::host_id& from,
                                    const finished& what,
                                    const content_source& source,
                                    core::time_point now);
/// The link to the host is closed.
std::vector<outgoing> lose_receiver(sender& it, const core::host_id& host,
                                    const content_source& source,
                                    core::time_point now);
/// Ends transfers to hosts that are silent.
std::vector<outgoing> expire(sender& it, const content_source& source,
                             core::time_point now);

/// The transfer to the host; null if there is none.
const served_host* find_served(const sender& it, const core::host_id& to,
                               const std::string& name);

/// Transfers that `expire` ends at that time.
std::vector<served_host> find_expired(const sender& it, core::time_point now);

/// When `expire` is to be called; absent if nobody is served.
std::optional<core::time_point> next_expiry(const sender& it);

}  // namespace godwitbarrow::transfer
