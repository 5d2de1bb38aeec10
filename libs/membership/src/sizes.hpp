#pragma once

#include <cstddef>

#include "godwitbarrow/membership/events.hpp"

namespace godwitbarrow::membership
{

std::size_t size_of(const host_entry& it);
std::size_t size_of(const host_delta& it);
std::size_t size_of(const host_chunk& it);
std::size_t size_of(const settings_delta& it);
std::size_t size_of(const group_view& it);
std::size_t size_of(const host_report& it);

}  // namespace godwitbarrow::membership
