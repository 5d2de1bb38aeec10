#pragma once

#include <functional>

#include "app.hpp"

namespace godwitbarrow::proxy::pooled
{

/// Commands that precede a status query.
struct member_commands
{
    /// The replica stops receiving at this term.
    std::optional<core::term_number> pause_at;
    /// A primary of a lower term becomes a replica.
    std::optional<core::term_number> step_down_at;
    /// A replica that was paused receives again.
    bool resume = false;
};

/// Queries the status of a member on a connection of its own, after `commands`.
/// The handler runs once, with nothing if the member did not answer within
/// `limit`.
void ask_member(
    app& it, const pooler::registration& member,
    const member_commands& commands, std::chrono::milliseconds limit,
    std::function<void(std::optional<takeover::member_report>)> handler);

}  // namespace godwitbarrow::proxy::pooled
