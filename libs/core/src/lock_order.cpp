#include "godwitbarrow/core/lock_order.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

namespace godwitbarrow::core::detail
{
namespace
{

std::vector<lock_level>& held_levels()
{
    thread_local std::vector<lock_level> levels;
    return levels;
}

}  // namespace

void enter_level(lock_level level) noexcept
{
    auto& held = held_levels();
    const auto it = std::max_element(held.begin(), held.end());
    if (it != held.end() && *it >= level)
    {
        std::fprintf(stderr, "lock order violated: level %d while holding %d\n",
                     static_cast<int>(level), static_cast<int>(*it));
        std::abort();
    }
    held.push_back(level);
}

void leave_level(lock_level level) noexcept
{
    auto& held = held_levels();
    const auto it = std::find(held.rbegin(), held.rend(), level);
    if (it != held.rend())
        held.erase(std::next(it).base());
}

}  // namespace godwitbarrow::core::detail
