#pragma once

#include <functional>
#include <map>
#include <string>

#include "godwitbarrow/transfer/receiver.hpp"
#include "godwitbarrow/transfer/sender.hpp"

namespace godwitbarrow::proxy::pooled
{

/// A large content that hosts fetch from each other.
struct content_kind
{
    /// The newest revision of this host; null if it has none.
    std::function<transfer::content_ptr()> newest;
    /// Whether this host lacks the revision.
    std::function<bool(const transfer::revision&)> lacks;
    std::function<void(transfer::arrived_content)> arrived;
};

/// Used on the strand of `app::hosts` only.
struct content_table
{
    std::map<std::string, content_kind> kinds;
    transfer::sender sender;
    transfer::receiver receiver;
    /// Whether a timer runs for silent hosts.
    bool watching = false;
};

}  // namespace godwitbarrow::proxy::pooled
