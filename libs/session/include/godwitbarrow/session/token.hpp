#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/core/position.hpp"

/// The session token that a caller carries from one request to the next.
namespace godwitbarrow::session
{

/// A token is sent with every request, so both its entries and its text are
/// bounded.
constexpr std::size_t max_token_groups = 32;
constexpr std::size_t max_token_bytes = 2048;

/// The newest position that the session has seen in each group.
struct token
{
    std::map<core::group_id, core::log_position> positions;

    friend bool operator==(const token& a, const token& b)
    {
        return a.positions == b.positions;
    }
};

/// Text such as "quotes:2:1f;rights:1:3" with hexadecimal numbers. Errors:
/// request_too_large if the token exceeds a bound.
core::result<std::string> encode(const token& it);

/// The empty text is the empty token. Errors: malformed_request,
/// request_too_large.
core::result<token> parse_token(std::string_view text);

/// The maximum of both tokens in each group.
token merge(token a, const token& b);

/// Raises the position in one group; never lowers it.
void advance(token& it, const core::group_id& group, core::log_position at);

/// Absent if the session has not seen the group.
std::optional<core::log_position> position_in(const token& it,
                                              const core::group_id& group);

}  // namespace godwitbarrow::session
