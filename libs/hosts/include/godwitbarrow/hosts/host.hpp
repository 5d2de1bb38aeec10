#pragma once

#include <string>

#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/core/names.hpp"

/// The hosts of the mode pooler as they announce themselves in the store.
namespace godwitbarrow::hosts
{

struct peer_host
{
    core::host_id host;
    core::data_centre_id data_centre;
    core::region_id region;
    /// Where it accepts links of other hosts.
    core::endpoint address;
    /// Share of a processor core that it may use, above 0.
    double core_share = 1;
    /// It is shutting down and takes no new work of other hosts.
    bool leaving = false;
};

/// The value of the row of a host.
std::string encode_host(const peer_host& it);

/// `protocol_error` if the row is of a host that accepts no links, or if it
/// cannot be read.
core::result<peer_host> decode_host(const std::string& name,
                                    const std::string& value);

}  // namespace godwitbarrow::hosts
