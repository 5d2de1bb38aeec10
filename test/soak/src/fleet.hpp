#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "link_proxy.hpp"
#include "processes.hpp"

/// The hosts: processes of the real program.
namespace soak
{

struct host_process
{
    std::string name;
    core::endpoint callers;
    std::string settings_path;
    scenario::process process;
    link_proxy_ptr store;
    /// Told to end, by which signal does not matter.
    bool ending = false;
    bool paused = false;
    core::time_point started;
    core::time_point restart_at;
};

struct fleet_options
{
    std::string program;
    std::string work_folder;
    std::uint16_t store_port = 0;
    /// Whether a replaced primary stops at once.
    bool fencing = true;
    unsigned hosts = 4;
};

struct fleet
{
    explicit fleet(boost::asio::io_context& context) : io(context) {}

    boost::asio::io_context& io;
    fleet_options options;
    std::vector<host_process> hosts;
    /// Ends that nobody asked for.
    std::vector<std::string> violations;
    bool stopped = false;
};

/// Starts the hosts and starts those again that end.
void start_fleet(fleet& it, const fleet_options& options);

/// The signal reaches this host only. SIGTERM is followed by SIGKILL after the
/// grace.
void send_signal(fleet& it, std::size_t host, int number);

bool is_running(const host_process& it);

/// Ends all hosts by their ids.
void end_fleet(fleet& it);

}  // namespace soak
