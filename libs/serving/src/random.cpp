#include "internal.hpp"

namespace godwitbarrow::serving::detail
{

/// SplitMix64: a small generator with the same sequence on every platform.
std::uint64_t next_random(std::uint64_t& state)
{
    state += 0x9e3779b97f4a7c15ULL;
    auto n = state;
    n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    n = (n ^ (n >> 27U)) * 0x94d049bb133111ebULL;
    return n ^ (n >> 31U);
}

double next_fraction(std::uint64_t& state)
{
    constexpr double step = 1.0 / static_cast<double>(1ULL << 53U);
    return static_cast<double>(next_random(state) >> 11U) * step;
}

}  // namespace godwitbarrow::serving::detail
