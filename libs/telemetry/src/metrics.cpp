#include "godwitbarrow/telemetry/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <mutex>

#include "godwitbarrow/core/lock_order.hpp"
#include "metric_names.hpp"

namespace godwitbarrow::telemetry
{

namespace detail
{

template <class T>
using per_rank = std::array<T*, core::rank_count>;
using counter_family = prometheus::Family<prometheus::Counter>;
using gauge_family = prometheus::Family<prometheus::Gauge>;

}  // namespace detail

/// The pointers refer to metrics that the registry owns.
struct metrics
{
    /// Holds the latencies. It is collected before `registry`, so that a scrape
    /// during traffic never shows more completed requests than requests. One
    /// registry collects counters before histograms.
    prometheus::Registry latency_registry;
    prometheus::Registry registry;
    detail::per_rank<prometheus::Histogram> latency{};
    std::array<detail::per_rank<prometheus::Counter>, request_result_count>
        requests{};
    detail::per_rank<prometheus::Counter> retries{};
    std::array<prometheus::Counter*, 2> reads{};
    prometheus::Gauge* settings_generation = nullptr;
    prometheus::Gauge* draining = nullptr;
    prometheus::Gauge* in_flight = nullptr;
    prometheus::Gauge* connections = nullptr;
    detail::counter_family* failover_steps = nullptr;
    detail::counter_family* store_errors = nullptr;
    detail::counter_family* closed_callers = nullptr;
    prometheus::Gauge* caller_bytes = nullptr;
    detail::counter_family* refusals = nullptr;
    detail::counter_family* host_bytes = nullptr;
    prometheus::Gauge* host_backlog_bytes = nullptr;
    prometheus::Gauge* host_backlog_seconds = nullptr;
    prometheus::Histogram* heartbeat = nullptr;
    prometheus::Gauge* contents_served = nullptr;
    prometheus::Gauge* contents_waiting = nullptr;
    detail::counter_family* contents = nullptr;
    prometheus::Histogram* loop_delay = nullptr;
    detail::counter_family* lost_sessions = nullptr;
    detail::gauge_family* queue_length = nullptr;
    /// Keeps a gauge of `queue_length` alive while it is set.
    core::ordered_mutex<core::lock_level::metrics> queue_mutex;
};

namespace detail
{
namespace
{

constexpr std::array<std::string_view, request_result_count> result_names{
    "completed", "not_run", "unknown", "invalid"};

using seconds = std::chrono::duration<double>;

/// Bounds of the latency histogram: common objectives and the given ones.
prometheus::Histogram::BucketBoundaries bounds_with(const objectives& goals)
{
    std::vector<double> out{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                            0.2,   0.5,   1.0,   2.0,  5.0,  10.0, 30.0};
    for (const auto& it : goals)
        out.push_back(seconds(it.latency).count());
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

std::string text(std::string_view it)
{
    return std::string(it);
}

prometheus::Labels of_rank(core::rank it)
{
    return {{rank_label, text(core::to_string(it))}};
}

template <class Builder>
auto& family(prometheus::Registry& in, Builder builder, const char* name,
             const char* help)
{
    return builder().Name(name).Help(help).Register(in);
}

void add_request_metrics(metrics& it, const objectives& goals)
{
    auto& latency =
        family(it.latency_registry, prometheus::BuildHistogram, latency_name,
               "Time from arrival to answer of completed requests");
    auto& requests =
        family(it.registry, prometheus::BuildCounter, requests_name,
               "Requests of callers by rank and result");
    auto& retries = family(it.registry, prometheus::BuildCounter,
                           "godwitbarrow_retries_total", "Repeated requests");
    for (const auto rank : core::all_ranks)
    {
        const auto n = core::index_of(rank);
        it.latency[n] = &latency.Add(of_rank(rank), bounds_with(goals));
        it.retries[n] = &retries.Add(of_rank(rank));
        for (std::size_t k = 0; k < request_result_count; ++k)
        {
            auto labels = of_rank(rank);
            labels[result_label] = text(result_names[k]);
            it.requests[k][n] = &requests.Add(labels);
        }
    }
}

void add_read_metrics(metrics& it)
{
    auto& reads = family(
        it.registry, prometheus::BuildCounter, "godwitbarrow_reads_total",
        "Completed reads by the role of the member that served them");
    it.reads[0] = &reads.Add({{"role", "replica"}});
    it.reads[1] = &reads.Add({{"role", "primary"}});
}

prometheus::Gauge* add_gauge(metrics& to, const char* name, const char* help)
{
    return &family(to.registry, prometheus::BuildGauge, name, help).Add({});
}

void add_state_metrics(metrics& it)
{
    it.settings_generation = add_gauge(it, "godwitbarrow_settings_generation",
                                       "Generation of the settings in effect");
    it.draining = add_gauge(it, "godwitbarrow_draining",
                            "1 while the process shuts down");
    it.in_flight = add_gauge(it, "godwitbarrow_requests_in_flight",
                             "Requests of callers without an answer");
    it.connections = add_gauge(it, "godwitbarrow_caller_connections",
                               "Open connections of callers");
    it.caller_bytes = add_gauge(it, "godwitbarrow_caller_held_bytes",
                                "Memory that connections of callers hold");
}

void add_labelled_metrics(metrics& it)
{
    it.failover_steps = &family(it.registry, prometheus::BuildCounter,
                                "godwitbarrow_failover_steps_total",
                                "Steps of failovers by name");
    it.store_errors = &family(it.registry, prometheus::BuildCounter,
                              "godwitbarrow_store_errors_total",
                              "Failed calls to the platform by operation");
    it.closed_callers =
        &family(it.registry, prometheus::BuildCounter,
                "godwitbarrow_closed_callers_total",
                "Connections of callers closed for a limit, by reason");
    it.refusals = &family(it.registry, prometheus::BuildCounter,
                          "godwitbarrow_refusals_total",
                          "Sessions and statements of callers that were not "
                          "served, by reason");
    it.queue_length = &family(
        it.registry, prometheus::BuildGauge, "godwitbarrow_queue_length",
        "Requests that wait for a slot, by server and rank");
}

void add_host_metrics(metrics& it)
{
    it.host_bytes = &family(it.registry, prometheus::BuildCounter,
                            "godwitbarrow_host_sent_bytes_total",
                            "Bytes handed to links to other hosts, by topic");
    it.host_backlog_bytes =
        add_gauge(it, "godwitbarrow_host_backlog_bytes",
                  "Bytes that wait to be written to other hosts");
    it.host_backlog_seconds =
        add_gauge(it, "godwitbarrow_host_backlog_seconds",
                  "Age of the oldest message that waits to be written");
    it.loop_delay = &family(it.registry, prometheus::BuildHistogram,
                            "godwitbarrow_loop_delay_seconds",
                            "How late the event loop ran a timer")
                         .Add({}, bounds_with({}));
    it.heartbeat =
        &family(it.registry, prometheus::BuildHistogram,
                "godwitbarrow_owner_heartbeat_seconds",
                "From a heartbeat to an owner of sessions to its answer")
             .Add({}, bounds_with({}));
    it.lost_sessions =
        &family(it.registry, prometheus::BuildCounter,
                "godwitbarrow_lost_sessions_total",
                "Relayed sessions whose owner was given up, by the answer to "
                "the outstanding statement");
}

void add_content_metrics(metrics& it)
{
    it.contents_served = add_gauge(it, "godwitbarrow_content_served_hosts",
                                   "Hosts that are sent a large content");
    it.contents_waiting = add_gauge(it, "godwitbarrow_content_waiting_hosts",
                                    "Hosts that wait for a large content");
    it.contents = &family(it.registry, prometheus::BuildCounter,
                          "godwitbarrow_contents_total",
                          "Ended transfers of large contents, by result");
}

prometheus::Labels queue_labels(const core::server_id& server, core::rank it)
{
    auto out = of_rank(it);
    out["server"] = server.value;
    return out;
}

bool is_fault_of_caller(core::error_kind it)
{
    switch (it)
    {
        case core::error_kind::malformed_request:
        case core::error_kind::request_too_large:
        case core::error_kind::unknown_group:
        case core::error_kind::unknown_kind:
        case core::error_kind::unknown_transaction:
        case core::error_kind::statement_failed:
            return true;
        default:
            return false;
    }
}

}  // namespace
}  // namespace detail

std::string_view to_string(request_result it)
{
    return detail::result_names[static_cast<std::size_t>(it)];
}

request_result classify(const core::outcome& it)
{
    if (std::holds_alternative<core::completed>(it))
        return request_result::completed;
    const auto* refused = std::get_if<core::not_run>(&it);
    if (!refused)
        return request_result::unknown;
    return detail::is_fault_of_caller(refused->reason.kind)
               ? request_result::invalid
               : request_result::not_run;
}

metrics_ptr make_metrics(const objectives& goals)
{
    auto it = std::make_shared<metrics>();
    detail::add_request_metrics(*it, goals);
    detail::add_read_metrics(*it);
    detail::add_state_metrics(*it);
    detail::add_labelled_metrics(*it);
    detail::add_host_metrics(*it);
    detail::add_content_metrics(*it);
    return it;
}

void count_request(metrics& to, core::rank importance, request_result result,
                   std::chrono::nanoseconds latency)
{
    const auto n = core::index_of(importance);
    to.requests[static_cast<std::size_t>(result)][n]->Increment();
    if (result == request_result::completed)
        to.latency[n]->Observe(detail::seconds(latency).count());
}

void set_queue_length(metrics& to, const core::server_id& server,
                      core::rank importance, std::size_t waiting)
{
    const std::lock_guard lock(to.queue_mutex);
    to.queue_length->Add(detail::queue_labels(server, importance))
        .Set(static_cast<double>(waiting));
}

void forget_server(metrics& to, const core::server_id& server)
{
    const std::lock_guard lock(to.queue_mutex);
    for (const auto it : core::all_ranks)
    {
        const auto labels = detail::queue_labels(server, it);
        if (to.queue_length->Has(labels))
            to.queue_length->Remove(&to.queue_length->Add(labels));
    }
}

void count_read(metrics& to, core::member_role served_by)
{
    to.reads[served_by == core::member_role::primary ? 1 : 0]->Increment();
}

void count_failover_step(metrics& to, std::string_view step)
{
    to.failover_steps->Add({{"step", detail::text(step)}}).Increment();
}

void set_settings_generation(metrics& to, std::uint64_t generation)
{
    to.settings_generation->Set(static_cast<double>(generation));
}

void count_store_error(metrics& to, std::string_view operation)
{
    to.store_errors->Add({{"operation", detail::text(operation)}}).Increment();
}

void count_closed_caller(metrics& to, std::string_view reason)
{
    to.closed_callers->Add({{"reason", detail::text(reason)}}).Increment();
}

void set_caller_load(metrics& to, std::size_t connections, std::size_t bytes)
{
    to.connections->Set(static_cast<double>(connections));
    to.caller_bytes->Set(static_cast<double>(bytes));
}

void count_refusal(metrics& to, std::string_view reason)
{
    to.refusals->Add({{"reason", detail::text(reason)}}).Increment();
}

void count_host_bytes(metrics& to, std::string_view topic, std::size_t bytes)
{
    to.host_bytes->Add({{"topic", detail::text(topic)}})
        .Increment(static_cast<double>(bytes));
}

void set_host_backlog(metrics& to, std::size_t bytes,
                      std::chrono::nanoseconds oldest)
{
    to.host_backlog_bytes->Set(static_cast<double>(bytes));
    to.host_backlog_seconds->Set(detail::seconds(oldest).count());
}

void observe_heartbeat(metrics& to, std::chrono::nanoseconds took)
{
    to.heartbeat->Observe(detail::seconds(took).count());
}

void set_content_load(metrics& to, std::size_t served, std::size_t waiting)
{
    to.contents_served->Set(static_cast<double>(served));
    to.contents_waiting->Set(static_cast<double>(waiting));
}

void count_content(metrics& to, std::string_view result)
{
    to.contents->Add({{"result", detail::text(result)}}).Increment();
}

void observe_loop_delay(metrics& to, std::chrono::nanoseconds late)
{
    to.loop_delay->Observe(detail::seconds(late).count());
}

void count_lost_session(metrics& to, std::string_view outcome)
{
    to.lost_sessions->Add({{"outcome", detail::text(outcome)}}).Increment();
}

void count_retry(metrics& to, core::rank importance)
{
    to.retries[core::index_of(importance)]->Increment();
}

void set_draining(metrics& to, bool draining)
{
    to.draining->Set(draining ? 1 : 0);
}

void set_gateway_load(metrics& to, std::size_t in_flight,
                      std::size_t connections)
{
    to.in_flight->Set(static_cast<double>(in_flight));
    to.connections->Set(static_cast<double>(connections));
}

std::string expose(const metrics& of)
{
    auto all = of.latency_registry.Collect();
    auto others = of.registry.Collect();
    std::move(others.begin(), others.end(), std::back_inserter(all));
    return prometheus::TextSerializer().Serialize(all);
}

}  // namespace godwitbarrow::telemetry
