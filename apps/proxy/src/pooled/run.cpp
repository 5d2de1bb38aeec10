#include "run.hpp"

#include <malloc.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

#include "app.hpp"
#include "caller_guard.hpp"
#include "configuration_exchange.hpp"
#include "content_exchange.hpp"
#include "godwitbarrow/telemetry/log.hpp"
#include "host_census.hpp"
#include "link_watch.hpp"
#include "links.hpp"
#include "mesh.hpp"
#include "owner_watch.hpp"
#include "quotas.hpp"
#include "relay.hpp"
#include "row_share.hpp"
#include "store_watch.hpp"
#include "takeovers.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

constexpr int exit_bad_settings = 2;
/// Allocations of this size are returned to the system when they are freed. By
/// default, the size grows with the first one that is freed, and buffers of
/// large messages stay in the heap.
constexpr int large_allocation_bytes = 256 * 1024;
constexpr std::chrono::milliseconds slow_tick{1000};
constexpr std::chrono::milliseconds shutdown_check{50};
/// The balancer sends new connections until it has asked twice, once a second.
constexpr std::chrono::milliseconds balancer_delay{2300};
/// Left of the grace for the end of the process.
constexpr std::chrono::milliseconds exit_margin{500};
/// Left of the grace when the process ends although an answer is not all sent.
constexpr std::chrono::milliseconds kill_margin{50};
/// For the answers to statements that time out at the end of a shutdown.
constexpr std::chrono::milliseconds answer_margin{200};
/// Left of the grace for the last statements and the end of the process.
constexpr std::chrono::milliseconds last_statements{2000};

void keep_ticking(app& it, const std::shared_ptr<core::timer>& t)
{
    t->expires_after(slow_tick);
    t->async_wait(
        [&it, t](boost::system::error_code ec)
        {
            if (ec)
                return;
            handle(it, pooler::timer_tick{});
            keep_ticking(it, t);
        });
}

void await_end(app& it, core::time_point began,
               const std::shared_ptr<core::timer>& t)
{
    std::size_t open = 0;
    {
        std::lock_guard lock(it.decisions.mutex);
        open = pooler::open_sessions(it.decisions.state);
    }
    open += count_relayed_callers(it);
    const bool sending = has_unsent_answers(it) || has_unsent_items(it);
    const auto waited = core::runtime_clock::now() - began;
    const bool finished = open == 0 && waited >= balancer_delay;
    const bool late = waited >= it.settings.grace - exit_margin;
    if (waited >= it.settings.grace - exit_margin - answer_margin)
        end_relayed_callers(it);
    if (((finished || late) && !sending) ||
        waited >= it.settings.grace - kill_margin)
    {
        telemetry::log_event(telemetry::log_level::info, "stopped",
                             {{"open_sessions", open},
                              {"unsent_answers", sending},
                              {"after", waited}});
        return it.io.stop();
    }
    t->expires_after(shutdown_check);
    t->async_wait([&it, began, t](boost::system::error_code)
                  { await_end(it, began, t); });
}

void await_signals(app& it, boost::asio::signal_set& signals, bool stopping)
{
    signals.async_wait(
        [&it, &signals, stopping](boost::system::error_code ec, int number)
        {
            if (ec)
                return;
            const bool stop = number != SIGHUP;
            if (stop && !stopping)
                shut_down(it);
            await_signals(it, signals, stopping || stop);
        });
}

/// Less than the time from the loss of a primary to the promotion of another:
/// it fails to answer a statement and a question, and the claim is announced.
constexpr std::chrono::milliseconds evidence_limit{900};

void apply_settings(const host_settings& from, pooler::pooler_settings& to)
{
    to.host = from.name;
    to.data_centre = from.data_centre;
    if (!from.fencing)
        to.evidence_limit = evidence_limit;
    to.leaving_primary_limit =
        std::min(to.leaving_primary_limit, from.leaving_limit / 2);
    to.limits_workspaces = from.quota_window.count() > 0;
    to.shutdown_transactions = from.grace / 2;
    to.shutdown_notice = std::min(balancer_delay, from.grace / 2);
    to.shutdown_limit =
        std::max(from.grace - exit_margin - answer_margin, from.grace / 2);
    to.shutdown_statements =
        std::max(from.grace - last_statements, from.grace / 2);
}

gateway::admin_response readiness_of(app& it)
{
    const bool ready = it.ready && it.owners_settled;
    return {ready ? 200U : 503U, "text/plain", ready ? "ok\n" : "not ready\n"};
}

core::result<std::monostate> start_http(app& it)
{
    auto ready = gateway::start_admin(
        it.io.get_executor(), it.settings.readiness,
        [&it](std::string_view path) -> std::optional<gateway::admin_response>
        {
            if (path != it.settings.readiness_path)
                return std::nullopt;
            return readiness_of(it);
        },
        it.settings.readiness_path);
    if (const auto* e = std::get_if<core::error>(&ready))
        return *e;
    it.readiness = std::get<gateway::admin_ptr>(ready);
    if (!it.settings.metrics)
        return std::monostate{};
    auto metrics = gateway::start_admin(
        it.io.get_executor(), *it.settings.metrics,
        [&it](std::string_view path) -> std::optional<gateway::admin_response>
        {
            if (path == "/metrics")
                return gateway::admin_response{200, "text/plain",
                                               telemetry::expose(*it.metrics)};
            return readiness_of(it);
        });
    if (const auto* e = std::get_if<core::error>(&metrics))
        return *e;
    it.metrics_server = std::get<gateway::admin_ptr>(metrics);
    return std::monostate{};
}

}  // namespace
}  // namespace detail

core::result<std::monostate> start(app& it)
{
    it.metrics = telemetry::make_metrics();
    detail::apply_settings(it.settings, it.decisions.state.settings);
    auto http = detail::start_http(it);
    if (!ok(http))
        return http;
    start_relaying(it);
    accept_heartbeats(it);
    exchange_contents(it);
    accept_shared_rows(it);
    start_quotas(it);
    exchange_configurations(it, [&it](const std::string& text)
                            { apply_configuration(it, text, std::nullopt); });
    auto mesh = start_mesh(it);
    if (!ok(mesh))
        return mesh;
    watch_store(it);
    count_hosts(it);
    watch_owners(it);
    watch_links(it);
    watch_primaries(it);
    start_caller_guard(it);
    detail::keep_ticking(it, std::make_shared<core::timer>(it.io));
    return listen_for_callers(it);
}

void shut_down(app& it)
{
    telemetry::log_event(telemetry::log_level::info, "stopping",
                         {{"grace", it.settings.grace}});
    stop_relaying(it);
    announce_leaving(it);
    handle(it, pooler::shutdown_started{});
    detail::await_end(it, core::runtime_clock::now(),
                      std::make_shared<core::timer>(it.io));
}

void run_workers(app& it)
{
    std::vector<std::thread> workers;
    for (std::size_t n = 1; n < it.settings.workers; ++n)
        workers.emplace_back([&it] { it.io.run(); });
    it.io.run();
    for (auto& n : workers)
        n.join();
}

int run(const std::string& settings_path,
        std::optional<std::chrono::milliseconds> change_limit)
{
    auto read = read_host_settings(settings_path);
    if (const auto* e = std::get_if<core::error>(&read))
    {
        std::cerr << settings_path << ": " << e->message << '\n';
        return detail::exit_bad_settings;
    }
    mallopt(M_MMAP_THRESHOLD, detail::large_allocation_bytes);
    telemetry::start_logging(telemetry::log_level::info,
                             telemetry::log_target::standard_output);
    auto settings = std::get<host_settings>(std::move(read));
    settings.change_limit = change_limit.value_or(settings.change_limit);
    app it(std::move(settings));
    boost::asio::signal_set signals(it.io, SIGTERM, SIGINT, SIGHUP);
    detail::await_signals(it, signals, false);
    const auto started = start(it);
    if (const auto* e = std::get_if<core::error>(&started))
    {
        telemetry::log_event(telemetry::log_level::error, "cannot serve",
                             {{"reason", e->message}});
        return detail::exit_bad_settings;
    }
    telemetry::log_event(telemetry::log_level::info, "started",
                         {{"host", it.settings.name},
                          {"data_centre", it.settings.data_centre},
                          {"workers", it.settings.workers}});
    run_workers(it);
    return 0;
}

}  // namespace godwitbarrow::proxy::pooled
