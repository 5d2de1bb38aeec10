#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "godwitbarrow/relay/messages.hpp"

/// Which of the items for one host are sent next.
namespace godwitbarrow::relay
{

/// A longer item, or a part that another one continues, counts as long.
constexpr std::size_t max_short_bytes = std::size_t{4} * 1024;
/// Short items that are sent ahead of a long one that waits.
constexpr std::size_t max_bytes_ahead = std::size_t{64} * 1024;

/// Whether the session belongs to the sender, and its number. Two hosts number
/// their sessions independently.
using session_key = std::pair<bool, std::uint64_t>;

/// Items that wait for one host. Change it by the functions below only.
struct send_queue
{
    /// Items without a session.
    std::deque<item> of_host;
    /// In order for each session; no list is empty.
    std::map<session_key, std::deque<item>> sessions;
    /// Each session once, in the list that its first item belongs to.
    std::deque<session_key> short_turns;
    std::deque<session_key> long_turns;
    /// Bytes of short items sent since a long one began to wait or was sent.
    std::size_t bytes_ahead = 0;
    /// Approximate size of all items.
    std::size_t bytes = 0;
};

/// Adds the item behind those of its session, in parts if it is too long.
void push(send_queue& it, item what);

/// Removes and returns the items that are sent next: all items without a
/// session, then those of sessions until they reach `budget` bytes. The last
/// one may exceed it. Sessions take turns, those with a short item first.
std::vector<item> take_next(send_queue& it, std::size_t budget);

inline bool empty(const send_queue& it)
{
    return it.of_host.empty() && it.sessions.empty();
}

}  // namespace godwitbarrow::relay
