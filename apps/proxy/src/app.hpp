#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "godwitbarrow/gateway/admin.hpp"
#include "godwitbarrow/gateway/server.hpp"
#include "godwitbarrow/store/client.hpp"
#include "godwitbarrow/telemetry/metrics.hpp"
#include "options.hpp"
#include "tables.hpp"

namespace godwitbarrow::proxy
{

/// Everything that one proxy process has.
struct app
{
    explicit app(options o);

    options settings_from;
    core::host_id self;
    /// Differs after each start of the process.
    std::uint64_t incarnation = 0;
    boost::asio::io_context io;

    settings_table settings;
    host_table hosts;
    group_table groups;
    connection_table connections;
    peer_table peers;

    store::client_ptr store;
    telemetry::metrics_ptr metrics;
    gateway::gateway_ptr gateway;
    gateway::admin_ptr admin;
    peer::listener_ptr peer_listener;

    core::timer scan_timer;
    core::timer membership_timer;
    core::timer drain_timer;
    core::time_point drain_until;
    std::atomic<bool> draining{false};
    std::atomic<std::uint64_t> next_request{1};
};

/// The settings in force, or null before the first generation.
settings_ptr current_settings(app& it);

/// The place of a data centre; the region is empty if it is unknown.
routing::location place_of(const settings::settings& of,
                           const core::data_centre_id& data_centre);

/// Null if the settings do not have the group.
group_ptr find_group(app& it, const core::group_id& id);
std::vector<group_ptr> all_groups(app& it);

}  // namespace godwitbarrow::proxy
