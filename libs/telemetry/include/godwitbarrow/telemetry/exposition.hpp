#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/telemetry/burn.hpp"

/// Reading the text of /metrics back.
namespace godwitbarrow::telemetry
{

struct series
{
    std::string name;
    std::map<std::string, std::string> labels;
    double value = 0;
};

using exposition = std::vector<series>;

/// Parses the Prometheus text format; comments are skipped, timestamps are
/// ignored. Errors: protocol_error with the line number.
core::result<exposition> parse_exposition(std::string_view text);

/// The cumulative counters of one scrape. `good` counts completed requests up
/// to the greatest bucket bound that is not above the latency threshold.
sample sample_from(const exposition& scrape, const objectives& of,
                   core::time_point taken_at);

}  // namespace godwitbarrow::telemetry
