#include "godwitbarrow/core/request.hpp"

namespace godwitbarrow::core
{
namespace detail
{
namespace
{

constexpr std::array<std::string_view, rank_count> rank_names{
    "urgent", "interactive", "deferred"};

constexpr std::array<std::string_view, 6> access_names{
    "read", "write", "begin", "statement", "commit", "rollback"};

}  // namespace
}  // namespace detail

std::string_view to_string(rank it)
{
    return detail::rank_names[index_of(it)];
}

std::optional<rank> parse_rank(std::string_view text)
{
    for (const auto it : all_ranks)
        if (to_string(it) == text)
            return it;
    return std::nullopt;
}

std::string_view to_string(access_mode it)
{
    return detail::access_names[static_cast<std::size_t>(it)];
}

std::optional<access_mode> parse_access(std::string_view text)
{
    for (std::size_t n = 0; n < detail::access_names.size(); ++n)
        if (detail::access_names[n] == text)
            return static_cast<access_mode>(n);
    return std::nullopt;
}

}  // namespace godwitbarrow::core
