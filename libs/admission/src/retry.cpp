#include "godwitbarrow/admission/retry.hpp"

#include <algorithm>
#include <cmath>

namespace godwitbarrow::admission
{

void record_success(retry_budget& budget, const retry_settings& settings)
{
    budget.available =
        std::min(budget.available + settings.ratio, settings.burst);
}

bool take_retry(retry_budget& budget, const retry_settings& settings)
{
    budget.available = std::min(budget.available, settings.burst);
    if (budget.available < 1)
        return false;
    budget.available -= 1;
    return true;
}

core::duration backoff_delay(const retry_settings& settings, unsigned attempt,
                             double random)
{
    // Bounds the exponent so that the product stays finite.
    constexpr unsigned max_doublings = 30;
    const auto doublings = std::min(std::max(attempt, 1U) - 1, max_doublings);
    const core::duration initial = settings.initial_backoff;
    const core::duration maximum = settings.max_backoff;
    const auto ceiling =
        std::min(static_cast<double>(maximum.count()),
                 static_cast<double>(initial.count()) *
                     std::ldexp(1.0, static_cast<int>(doublings)));
    return core::duration(static_cast<core::duration::rep>(ceiling * random));
}

}  // namespace godwitbarrow::admission
