#pragma once

#include <chrono>

#include "godwitbarrow/core/clock.hpp"

namespace godwitbarrow::admission
{

struct retry_settings
{
    /// Retries added to the budget by each successful request.
    double ratio = 0.1;
    /// Maximum budget, and the budget at the start.
    double burst = 10;
    std::chrono::milliseconds initial_backoff{10};
    std::chrono::milliseconds max_backoff{500};
};

struct retry_budget
{
    double available = 10;
};

void record_success(retry_budget& budget, const retry_settings& settings);

/// Takes one retry from the budget; returns false if the budget is exhausted.
bool take_retry(retry_budget& budget, const retry_settings& settings);

/// Returns the delay before a retry: exponential back-off with full jitter.
/// `attempt` counts from 1, `random` is uniform in [0, 1).
core::duration backoff_delay(const retry_settings& settings, unsigned attempt,
                             double random);

}  // namespace godwitbarrow::admission
