#include "fleet.hpp"

#include <unistd.h>

#include <csignal>
#include <fstream>

#include "godwitbarrow/standins/http_server.hpp"

namespace soak
{
namespace detail
{
namespace
{

using godwitbarrow::standins::call_after;
using namespace std::chrono_literals;

constexpr std::chrono::milliseconds watch_interval{25};
constexpr std::chrono::milliseconds restart_pause{300};
constexpr std::chrono::seconds grace{4};
constexpr std::uint16_t first_port = 21400;

// Different runs on one machine use different loopback addresses.
std::string address_of_run()
{
    const auto id = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + id / 250 % 250) + "." +
           std::to_string(1 + id % 250) + ".2";
}

void write_settings(const host_process& it, const std::string& address,
                    std::uint16_t port, bool fencing)
{
    const auto store = "127.0.0.1:" + std::to_string(port_of(*it.store)) + "\n";
    std::ofstream out(it.settings_path);
    out << "[host]\nname = " << it.name << "\ndata_centre = north\n"
        << "workers = " << 1 + port % 2 << "\n\n[listen]\n"
        << "callers = " << core::to_string(it.callers) << "\n"
        << "readiness = " << address << ":" << port + 1 << "\n"
        << "readiness_path = /readyz\n"
        << "metrics = " << address << ":" << port + 2 << "\n\n"
        << "[store]\naddress = " << store
        << "\n[promotions]\naddress = " << store
        << "fencing = " << (fencing ? "true" : "false") << "\n"
        << "\n[shutdown]\ngrace = " << grace.count()
        << "s\n\n[members]\nleaving_limit = 7s\n";
}

void start_host(fleet& it, host_process& h)
{
    const auto log = it.options.work_folder + "/" + h.name + ".log";
    auto started =
        scenario::start_process({it.options.program, "--mode=pooler",
                                 "--host_settings=" + h.settings_path},
                                log);
    if (const auto* e = std::get_if<core::error>(&started))
        return it.violations.push_back(e->message);
    h.process = std::get<scenario::process>(started);
    h.ending = false;
    h.paused = false;
    h.started = core::runtime_clock::now();
}

void check_end(fleet& it, host_process& h)
{
    const auto now = core::runtime_clock::now();
    if (h.process.id > 0)
    {
        const auto status = scenario::wait_for_exit(h.process, 0ms);
        if (!status)
            return;
        if (!h.ending)
            it.violations.push_back("own end: " + h.name + " ended by itself " +
                                    "with status " + std::to_string(*status));
        h.restart_at = now + restart_pause;
    }
    else if (now >= h.restart_at)
    {
        start_host(it, h);
    }
}

void watch(fleet& it)
{
    if (it.stopped)
        return;
    for (auto& h : it.hosts)
        check_end(it, h);
    call_after(it.io.get_executor(), watch_interval, [&it] { watch(it); });
}

}  // namespace
}  // namespace detail

void start_fleet(fleet& it, const fleet_options& options)
{
    it.options = options;
    const auto address = detail::address_of_run();
    for (unsigned n = 0; n < options.hosts; ++n)
    {
        host_process h;
        h.name = "host-" + std::to_string(n + 1);
        const auto port =
            static_cast<std::uint16_t>(detail::first_port + 3 * n);
        h.callers = {address, port};
        h.settings_path = options.work_folder + "/" + h.name + ".ini";
        h.store = open_proxy(it.io, {"127.0.0.1", options.store_port});
        detail::write_settings(h, address, port, options.fencing);
        it.hosts.push_back(std::move(h));
    }
    for (auto& h : it.hosts)
        detail::start_host(it, h);
    detail::watch(it);
}

void send_signal(fleet& it, std::size_t host, int number)
{
    auto& h = it.hosts[host];
    if (h.process.id <= 0)
        return;
    const auto id = h.process.id;
    if (number == SIGKILL || number == SIGTERM)
        h.ending = true;
    if (number == SIGSTOP || number == SIGCONT)
        h.paused = number == SIGSTOP;
    scenario::signal_process(h.process, number);
    if (number != SIGTERM)
        return;
    detail::call_after(it.io.get_executor(), detail::grace,
                       [&it, host, id]
                       {
                           auto& n = it.hosts[host];
                           if (!it.stopped && n.process.id == id)
                               scenario::signal_process(n.process, SIGKILL);
                       });
}

bool is_running(const host_process& it)
{
    return it.process.id > 0 && !it.ending && !it.paused;
}

void end_fleet(fleet& it)
{
    it.stopped = true;
    for (auto& h : it.hosts)
    {
        scenario::end_process(h.process);
        close_proxy(*h.store);
    }
}

}  // namespace soak
