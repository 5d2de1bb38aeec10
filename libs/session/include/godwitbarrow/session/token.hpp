#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/core/position.hpp"

/// The session token, which a caller receives with a response and sends with
/// its next request.
namespace godwitbarrow::session
{

/// Limits on the number of groups in a token and on the length of its text. A
/// token is sent with every request, so both are bounded.
constexpr std::size_t max_token_groups = 32;
constexpr std::size_t max_token_bytes = 2048;

/// The newest log position that the session has seen in each group.
struct token
{
    std::map<core::group_id, core::log_position> positions;

    friend bool operator==(const token& a, const token& b)
    {
        return a.positions == b.positions;
    }
};

/// Encodes a token as text such as "quotes:2:1f;rights:1:3", which lists group,
/// term and position with hexadecimal numbers. Errors: request_too_large if the
/// token exceeds a limit.
core::result<std::string> encode(const token& value);

/// Parses the text of a token. Empty text gives an empty token. Errors:
/// malformed_request, request_too_large.
core::result<token> parse_token(std::string_view text);

/// Returns the newer position of both tokens for each group.
token merge(token a, const token& b);

/// Raises the position of a group to `at`. A newer position is kept.
void advance(token& target, const core::group_id& group, core::log_position at);

/// Returns nullopt if the token has no position for the group.
std::optional<core::log_position> position_in(const token& source,
                                              const core::group_id& group);

}  // namespace godwitbarrow::session
