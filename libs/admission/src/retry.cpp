#include "godwitbarrow/admission/retry.hpp"

#include <algorithm>
#include <cmath>

namespace godwitbarrow::admission
{

void record_success(retry_budget& it, const retry_settings& settings)
{
    it.available = std::min(it.available + settings.ratio, settings.burst);
}

bool take_retry(retry_budget& it, const retry_settings& settings)
{
    it.available = std::min(it.available, settings.burst);
    if (it.available < 1)
        return false;
    it.available -= 1;
    return true;
}

core::duration backoff_delay(const retry_settings& settings, unsigned attempt,
                             double random)
{
    // The exponent is bounded so that the product stays finite.
    constexpr unsigned max_doublings = 30;
    const auto doublings = std::min(std::max(attempt, 1U) - 1, max_doublings);
    const core::duration first = settings.initial_backoff;
    const core::duration longest = settings.max_backoff;
    const auto ceiling =
        std::min(static_cast<double>(longest.count()),
                 static_cast<double>(first.count()) *
                     std::ldexp(1.0, static_cast<int>(doublings)));
    return core::duration(static_cast<core::duration::rep>(ceiling * random));
}

}  // namespace godwitbarrow::admission
