#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "godwitbarrow/core/error.hpp"

/// Messages about caller sessions between the host that holds the connection
/// of a caller (the entry host) and the one that serves the session (the
/// owner), and their FlatBuffers encoding.
namespace godwitbarrow::relay
{

enum class item_kind : std::uint8_t
{
    /// Entry to owner: a caller connected; the bytes are its startup line.
    start = 1,
    /// Entry to owner: a further line of the caller.
    line = 2,
    /// Entry to owner: the caller is gone.
    disconnected = 3,
    /// Owner to entry: an answer, complete with its last part.
    answer = 4,
    /// Owner to entry: the caller's connection is to be closed once the answers
    /// before are sent.
    close = 5,
    /// Either way: asks for a `heartbeat_answer`.
    heartbeat = 6,
    heartbeat_answer = 7,
    /// Either way: the sender is shutting down.
    draining = 8
};

/// What concerns one session. The number is the one that the entry host gave
/// it; 0 if it concerns the whole host.
struct item
{
    item_kind kind = item_kind::line;
    std::uint64_t session = 0;
    std::string bytes;
    /// Whether the next item of the session continues the bytes.
    bool more = false;
    /// For an answer: whether the session is outside a transaction after it.
    bool idle = false;
};

/// Whether an entry host sends the item to an owner.
bool is_for_owner(item_kind it);

/// An item without bytes.
item make_item(item_kind kind, std::uint64_t session = 0);

/// Items for one host, in order.
struct batch
{
    /// Version of the configuration that the sender has applied.
    std::uint64_t configuration = 0;
    std::vector<item> items;
    /// Encoded bytes of batches that the sender has taken from the receiver
    /// since their link is open. Hosts of earlier versions do not report it.
    std::optional<std::uint64_t> taken = std::nullopt;
};

/// Bytes of one item; longer texts are split.
constexpr std::size_t max_item_bytes = std::size_t{16} * 1024;
/// Approximate size of an encoded batch. A host reports what it has taken after
/// whole batches, so several of them are on their way to it at a time.
constexpr std::size_t max_batch_bytes = std::size_t{32} * 1024;

/// Of an encoded item.
std::size_t approximate_size(const item& it);

/// Splits an item whose bytes are too long for one.
std::vector<item> split(item it);

/// Splits the items into batches that fit a frame each.
std::vector<batch> make_batches(std::uint64_t configuration,
                                std::vector<item> items);

std::string encode(const batch& it);

/// Errors: protocol_error if the bytes are not a whole, valid batch.
core::result<batch> decode(std::string_view bytes);

}  // namespace godwitbarrow::relay
