#pragma once

#include <rapidcheck.h>

#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

/// What the fuzz tests of several libraries share.
namespace godwitbarrow::fuzzing
{

/// GODWITBARROW_FUZZ_CASES sets the number of cases of a longer run.
inline void set_cases()
{
    const char* cases = std::getenv("GODWITBARROW_FUZZ_CASES");
    if (cases == nullptr)
        return;
    const char* known = std::getenv("RC_PARAMS");
    const auto params =
        std::string(known ? known : "") + " max_success=" + cases;
    setenv("RC_PARAMS", params.c_str(), 1);
}

/// Steps that are each drawn as often as their weight says.
template <class Step>
using step_weights = std::vector<std::pair<std::size_t, Step>>;

/// A command made of a step and three numbers, whose meaning depends on it.
template <class Command, class Step>
rc::Gen<Command> weighted_command(const step_weights<Step>& weights)
{
    std::vector<Step> all;
    for (const auto& [weight, it] : weights)
        all.insert(all.end(), weight, it);
    const auto number = rc::gen::inRange(0U, 1U << 16U);
    return rc::gen::construct<Command>(rc::gen::elementOf(all), number, number,
                                       number);
}

}  // namespace godwitbarrow::fuzzing
