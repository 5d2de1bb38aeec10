#include "godwitbarrow/core/error.hpp"

#include <array>
#include <utility>

namespace godwitbarrow::core
{
namespace detail
{
namespace
{

constexpr std::array<std::pair<error_kind, std::string_view>, 25> kind_names{{
    {error_kind::malformed_request, "malformed_request"},
    {error_kind::request_too_large, "request_too_large"},
    {error_kind::unknown_group, "unknown_group"},
    {error_kind::unknown_kind, "unknown_kind"},
    {error_kind::unknown_transaction, "unknown_transaction"},
    {error_kind::transaction_lost, "transaction_lost"},
    {error_kind::overloaded, "overloaded"},
    {error_kind::deadline_exceeded, "deadline_exceeded"},
    {error_kind::no_primary, "no_primary"},
    {error_kind::no_quorum, "no_quorum"},
    {error_kind::stale_token, "stale_token"},
    {error_kind::too_stale, "too_stale"},
    {error_kind::no_connection, "no_connection"},
    {error_kind::connection_lost, "connection_lost"},
    {error_kind::confirmation_timeout, "confirmation_timeout"},
    {error_kind::fenced, "fenced"},
    {error_kind::statement_failed, "statement_failed"},
    {error_kind::draining, "draining"},
    {error_kind::owner_unreachable, "owner_unreachable"},
    {error_kind::store_unavailable, "store_unavailable"},
    {error_kind::conflict, "conflict"},
    {error_kind::not_found, "not_found"},
    {error_kind::invalid_settings, "invalid_settings"},
    {error_kind::protocol_error, "protocol_error"},
    {error_kind::internal, "internal"},
}};

}  // namespace
}  // namespace detail

std::string_view to_string(error_kind kind)
{
    for (const auto& it : detail::kind_names)
        if (it.first == kind)
            return it.second;
    return "internal";
}

error_kind parse_error_kind(std::string_view text)
{
    for (const auto& it : detail::kind_names)
        if (it.second == text)
            return it.first;
    return error_kind::internal;
}

}  // namespace godwitbarrow::core
