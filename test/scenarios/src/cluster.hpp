#pragma once

#include <chrono>
#include <map>
#include <string>

#include "godwitbarrow/core/request.hpp"
#include "godwitbarrow/settings/settings.hpp"
#include "processes.hpp"

/// The processes of one deployment on loopback: the platform's stand-in, the
/// backend servers' stand-ins and the proxies.
namespace scenario
{

namespace settings = godwitbarrow::settings;

struct cluster_options
{
    /// Folder of settings, for example examples/consortium.
    std::string settings_folder;
    /// Folder with the programs.
    std::string programs;
    /// Folder for logs and settings of this run.
    std::string work_folder;
    /// Loopback address of this run, so that runs do not share ports.
    std::string address;
    std::chrono::milliseconds lag{20};
    std::chrono::milliseconds service_time{2};
    std::chrono::milliseconds host_list_lag{200};
};

struct cluster
{
    cluster_options options;
    settings::settings values;
    process platform;
    std::map<core::server_id, process> servers;
    std::map<core::host_id, process> hosts;
    /// Entries of the platform's host list: kind and state by name.
    std::map<std::string, std::pair<std::string, std::string>> listed;
};

/// Copies the settings with the addresses of this run and parses them.
core::result<cluster> make_cluster(const cluster_options& options);

core::result<std::monostate> start_platform(cluster& it);
core::result<std::monostate> start_server(cluster& it,
                                          const core::server_id& server);
/// The first host of the settings publishes the folder.
core::result<std::monostate> start_host(cluster& it, const core::host_id& host);

/// Starts everything and waits until all hosts know a primary of each group.
core::result<std::monostate> start_all(cluster& it);

/// Waits until the host is healthy and knows a primary of each group.
core::result<std::monostate> wait_until_ready(const cluster& it,
                                              const core::host_id& host);

/// Folder that the first host watches.
std::string published_folder(const cluster& it);
/// Folder of a second operator, which the second host watches from its start
/// if it exists.
std::string second_folder(const cluster& it);

core::endpoint caller_endpoint(const cluster& it, const core::host_id& host);
core::endpoint admin_endpoint(const cluster& it, const core::host_id& host);

/// Sets the state of an entry of the platform's host list: live, leaving, or
/// absent.
core::result<std::monostate> set_host_state(cluster& it,
                                            const std::string& name,
                                            const std::string& kind,
                                            const std::string& state);

/// Sends the JSON text to a fault route.
core::result<std::monostate> set_faults(const core::endpoint& to,
                                        const std::string& faults);

void end_all(cluster& it);

}  // namespace scenario
