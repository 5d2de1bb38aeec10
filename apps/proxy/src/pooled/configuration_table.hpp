#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/lock_order.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/transfer/messages.hpp"

namespace godwitbarrow::proxy::pooled
{

/// What another host has told of its configuration.
struct told_configuration
{
    /// 0 if it has told none.
    std::uint64_t version = 0;
    /// It serves the configuration in chunks.
    bool supports_transfers = false;
    /// Of the operator's table; absent if the host has the text only.
    std::optional<transfer::revision> rows;
};

/// The configuration of this host and the versions of others.
struct configuration_table
{
    mutable core::ordered_mutex<core::lock_level::configuration> mutex;
    /// Of the newest configuration; 0 before the first one.
    std::uint64_t version = 0;
    /// The version that decisions are made under, shortly after `version`.
    std::uint64_t in_force = 0;
    /// As the operator wrote it.
    std::string text;
    /// Of the rows that it came with, if any.
    std::optional<transfer::revision> rows;
    /// Hosts with an open link.
    std::map<core::host_id, told_configuration> told;
    std::optional<core::time_point> asked;
    /// Not changed after the start.
    std::function<void(const std::string&)> handler;
};

}  // namespace godwitbarrow::proxy::pooled
