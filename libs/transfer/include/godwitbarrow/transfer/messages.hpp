#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "godwitbarrow/core/error.hpp"

/// Messages by which hosts fetch large contents from each other, and their
/// FlatBuffers encoding.
namespace godwitbarrow::transfer
{

/// Which state of a content: a version of the store in one of its eras.
struct revision
{
    std::uint64_t era = 0;
    std::uint64_t version = 0;
};

inline bool operator==(const revision& a, const revision& b)
{
    return a.era == b.era && a.version == b.version;
}

/// Whether the revision is of a later era, or later in the same one.
inline bool is_later(const revision& a, const revision& b)
{
    return a.era != b.era ? a.era > b.era : a.version > b.version;
}

/// The sender has this revision and serves it on request.
struct notice
{
    std::string name;
    revision at;
};

/// Asks for the next chunk. It also tells that the one before has arrived.
struct request
{
    std::string name;
    /// Of the chunks that have arrived; not looked at if `offset` is 0.
    revision at;
    std::uint64_t offset = 0;
    /// Number of the fetch at the receiver. Replies repeat it, so that a late
    /// one is not taken for the reply to a newer request.
    std::uint64_t fetch = 0;
};

struct chunk
{
    std::string name;
    revision at;
    /// Of the whole content.
    std::uint64_t size = 0;
    std::uint64_t offset = 0;
    std::string bytes;
    std::uint64_t fetch = 0;
};

/// The request waits until other hosts are served.
struct queued
{
    std::string name;
    std::uint64_t fetch = 0;
};

/// The receiver has everything or asks for no more, or the sender has nothing
/// to send.
struct finished
{
    std::string name;
};

using message = std::variant<notice, request, chunk, queued, finished>;

std::string encode(const message& it);

/// Errors: protocol_error if the bytes are not a whole, valid message.
core::result<message> decode(std::string_view bytes);

}  // namespace godwitbarrow::transfer
