#include "godwitbarrow/admission/byte_budget.hpp"

namespace godwitbarrow::admission
{

void set_held(byte_budget& it, holder_number holder, std::size_t bytes)
{
    const auto n = it.holders.find(holder);
    if (n != it.holders.end())
    {
        it.held -= n->second;
        it.by_size.erase({n->second, holder});
        it.holders.erase(n);
    }
    if (bytes == 0)
        return;
    it.held += bytes;
    it.holders.emplace(holder, bytes);
    it.by_size.emplace(bytes, holder);
}

std::optional<holder_number> take_largest_over_limit(byte_budget& it)
{
    if (it.held <= it.limit)
        return std::nullopt;
    const auto holder = it.by_size.rbegin()->second;
    set_held(it, holder, 0);
    return holder;
}

}  // namespace godwitbarrow::admission
