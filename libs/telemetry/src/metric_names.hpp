#pragma once

/// Names that are both written to /metrics and read back from it.
namespace godwitbarrow::telemetry::detail
{

constexpr auto requests_name = "godwitbarrow_requests_total";
constexpr auto latency_name = "godwitbarrow_request_latency_seconds";
constexpr auto latency_bucket_name =
    "godwitbarrow_request_latency_seconds_bucket";
constexpr auto rank_label = "rank";
constexpr auto result_label = "result";
constexpr auto bound_label = "le";

}  // namespace godwitbarrow::telemetry::detail
