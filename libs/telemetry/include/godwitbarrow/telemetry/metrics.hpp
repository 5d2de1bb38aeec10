#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/core/position.hpp"
#include "godwitbarrow/core/request.hpp"
#include "godwitbarrow/telemetry/burn.hpp"

/// Metrics of one process. All functions are callable from any thread.
namespace godwitbarrow::telemetry
{

/// How a request counts towards its objective.
enum class request_result
{
    completed,
    not_run,
    unknown,
    /// Not run because of a fault in the request itself; not counted against
    /// the objective.
    invalid
};
constexpr std::size_t request_result_count = 4;

std::string_view to_string(request_result it);
request_result classify(const core::outcome& it);

/// Counters, gauges and histograms with their registry.
struct metrics;
using metrics_ptr = std::shared_ptr<metrics>;

/// The latencies of `goals` become bounds of the latency histogram, so that the
/// share of good requests is exact for them.
metrics_ptr make_metrics(const objectives& goals = {});

/// Counts the request; the latency of a completed one goes to the histogram of
/// its rank.
void count_request(metrics& to, core::rank importance, request_result result,
                   std::chrono::nanoseconds latency);

void set_queue_length(metrics& to, const core::server_id& server,
                      core::rank importance, std::size_t waiting);
/// Removes the queue lengths of a server that this host owns no longer.
void forget_server(metrics& to, const core::server_id& server);

/// Counts a read by the role of the member that served it.
void count_read(metrics& to, core::member_role served_by);

/// Counts a step of a failover, for example "claimed".
void count_failover_step(metrics& to, std::string_view step);

void set_settings_generation(metrics& to, std::uint64_t generation);

/// Counts a failed call to the platform, for example "put_row".
void count_store_error(metrics& to, std::string_view operation);

/// Counts a session or a statement that was not served, for example
/// "over_quota".
void count_refusal(metrics& to, std::string_view reason);

void count_retry(metrics& to, core::rank importance);

void set_draining(metrics& to, bool draining);

/// Requests accepted from callers whose answer is not written yet, and open
/// connections of callers.
void set_gateway_load(metrics& to, std::size_t in_flight,
                      std::size_t connections);

/// Counts a caller whose connection was closed for a limit, for example
/// "memory".
void count_closed_caller(metrics& to, std::string_view reason);

/// Open connections of callers and the memory that they hold.
void set_caller_load(metrics& to, std::size_t connections, std::size_t bytes);

/// Counts bytes of a topic, for example "sessions", handed to a link to another
/// host.
void count_host_bytes(metrics& to, std::string_view topic, std::size_t bytes);

/// What waits to be written to other hosts, and since when at the most.
void set_host_backlog(metrics& to, std::size_t bytes,
                      std::chrono::nanoseconds oldest);

/// From a heartbeat to an owner of relayed sessions to its answer.
void observe_heartbeat(metrics& to, std::chrono::nanoseconds took);

/// Hosts that are sent a large content, and hosts that wait for one.
void set_content_load(metrics& to, std::size_t served, std::size_t waiting);

/// Counts a transfer of a large content to another host that has ended, by its
/// result, for example "sent" or "silent".
void count_content(metrics& to, std::string_view result);

/// How late the event loop ran a timer.
void observe_loop_delay(metrics& to, std::chrono::nanoseconds late);

/// Counts a caller session that ends because its owner was given up, by what
/// its outstanding statement was answered, for example "in_doubt" or "none".
void count_lost_session(metrics& to, std::string_view outcome);

/// Prometheus text format 0.0.4, for /metrics.
std::string expose(const metrics& of);

}  // namespace godwitbarrow::telemetry
