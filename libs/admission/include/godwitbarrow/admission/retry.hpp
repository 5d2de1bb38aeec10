#pragma once

#include <chrono>

#include "godwitbarrow/core/clock.hpp"

namespace godwitbarrow::admission
{

struct retry_settings
{
    /// Retries per success.
    double ratio = 0.1;
    /// Retries that may be saved up, also the amount at start.
    double burst = 10;
    std::chrono::milliseconds initial_backoff{10};
    std::chrono::milliseconds max_backoff{500};
};

struct retry_budget
{
    double available = 10;
};

void record_success(retry_budget& it, const retry_settings& settings);

/// Takes one retry from the budget; false if none is left.
bool take_retry(retry_budget& it, const retry_settings& settings);

/// Exponential back-off with full jitter. `attempt` counts from 1, `random`
/// is uniform in [0, 1).
core::duration backoff_delay(const retry_settings& settings, unsigned attempt,
                             double random);

}  // namespace godwitbarrow::admission
