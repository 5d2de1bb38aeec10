#include "lifecycle.hpp"

#include "admin.hpp"
#include "entry.hpp"
#include "membership_runner.hpp"
#include "peers.hpp"
#include "roles.hpp"

namespace godwitbarrow::proxy
{
namespace detail
{
namespace
{

/// Time for the balancer to see the failed health check and for the peers to
/// learn that this host leaves, before the host stops accepting.
constexpr std::chrono::milliseconds leave_notice{1500};
constexpr std::chrono::milliseconds drain_check{50};
/// Checks in a row without work before the host stops, so that the last
/// answers leave the write queues of the links.
constexpr int idle_checks_needed = 6;

gateway::gateway_limits to_gateway_limits(const settings::limit_settings& of)
{
    gateway::gateway_limits it;
    it.body_bytes = of.body;
    it.header_bytes = of.header;
    it.open_connections = of.open_connections;
    it.request_read_timeout = of.request_read_time;
    return it;
}

core::result<std::monostate> start_gateway(app& it,
                                           const settings::settings& of,
                                           const settings::host& host)
{
    gateway::gateway_handlers handlers;
    handlers.on_request =
        [&it](gateway::parsed_request what, gateway::responder respond)
    {
        handle_request(it, std::move(what), std::move(respond));
    };
    auto started = gateway::start_gateway(
        it.io.get_executor(), {host.address, host.caller_port},
        to_gateway_limits(of.limits), handlers);
    if (!ok(started))
        return std::get<core::error>(started);
    it.gateway = std::get<gateway::gateway_ptr>(started);
    return std::monostate();
}

core::result<std::monostate> start_admin(app& it, const settings::host& host)
{
    auto started = gateway::start_admin(
        it.io.get_executor(), {host.admin_address, host.admin_port},
        [&it](std::string_view path) { return answer_admin(it, path); });
    if (!ok(started))
        return std::get<core::error>(started);
    it.admin = std::get<gateway::admin_ptr>(started);
    return std::monostate();
}

bool has_work(app& it)
{
    if (gateway::requests_in_flight(it.gateway) > 0)
        return true;
    for (const auto& n : all_groups(it))
    {
        std::lock_guard lock(n->mutex);
        if (!n->serving.requests.empty() || !n->serving.transactions.empty())
            return true;
    }
    return false;
}

void stop_when_idle(app& it, int idle_checks)
{
    const bool late = core::runtime_clock::now() >= it.drain_until;
    idle_checks = has_work(it) ? 0 : idle_checks + 1;
    if (late || idle_checks >= idle_checks_needed)
    {
        telemetry::log_event(
            telemetry::log_level::info, "stopped",
            {{"requests_cut", late ? gateway::requests_in_flight(it.gateway)
                                   : std::size_t(0)}});
        return it.io.stop();
    }
    it.drain_timer.expires_after(drain_check);
    it.drain_timer.async_wait(
        [&it, idle_checks](boost::system::error_code ec)
        {
            if (!ec)
                stop_when_idle(it, idle_checks);
        });
}

}  // namespace
}  // namespace detail

core::result<std::monostate> start_serving(app& it)
{
    const auto settings = current_settings(it);
    const auto host = settings->hosts.find(it.self);
    if (host == settings->hosts.end())
        return core::error{core::error_kind::invalid_settings,
                           "host " + it.self.value +
                               " is not in the settings; add a section [host." +
                               it.self.value +
                               "] or start with another --host"};
    // Other workers handle messages of peers as soon as the host listens.
    prepare_membership(it);
    auto done =
        listen_to_peers(it, {host->second.address, host->second.peer_port});
    if (ok(done))
        done = detail::start_gateway(it, *settings, host->second);
    if (ok(done))
        done = detail::start_admin(it, host->second);
    if (!ok(done))
        return done;
    start_membership(it);
    refresh_roles(it);
    telemetry::log_event(
        telemetry::log_level::info, "serving",
        {{"host", it.self},
         {"callers", core::to_string(gateway::local_endpoint(it.gateway))}});
    return std::monostate();
}

void shut_down(app& it)
{
    if (it.draining.exchange(true) || !it.gateway)
        return it.io.stop();
    telemetry::log_event(telemetry::log_level::info, "draining");
    const auto settings = current_settings(it);
    it.drain_until = core::runtime_clock::now() + settings->limits.drain_limit;
    post(it, membership::leave_started{});
    it.drain_timer.expires_after(detail::leave_notice);
    it.drain_timer.async_wait(
        [&it](boost::system::error_code ec)
        {
            if (ec)
                return;
            gateway::stop_accepting(it.gateway);
            gateway::close_idle(it.gateway);
            detail::stop_when_idle(it, 0);
        });
}

}  // namespace godwitbarrow::proxy
