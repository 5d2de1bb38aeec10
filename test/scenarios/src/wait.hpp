#pragma once

#include <chrono>
#include <functional>

namespace scenario
{

/// Evaluates the condition until it holds, at most for `limit`. Between two
/// evaluations the thread waits on a timer.
bool wait_until(std::chrono::milliseconds limit,
                const std::function<bool()>& condition);

/// Waits on a timer.
void wait_for(std::chrono::milliseconds time);

}  // namespace scenario
