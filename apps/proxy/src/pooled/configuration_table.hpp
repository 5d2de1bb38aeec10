#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/lock_order.hpp"
#include "godwitbarrow/core/names.hpp"

namespace godwitbarrow::proxy::pooled
{

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
    /// Hosts with an open link; 0 if they have told no version.
    std::map<core::host_id, std::uint64_t> told;
    std::optional<core::time_point> asked;
    /// Not changed after the start.
    std::function<void(const std::string&)> handler;
};

}  // namespace godwitbarrow::proxy::pooled
