#pragma once

#include <functional>

#include "app.hpp"

namespace godwitbarrow::proxy::pooled
{

/// Asks a member for its status on a connection of its own. With `pause_at`
/// the replica stops receiving at this term first. The handler runs once, with
/// nothing if the member did not answer within `limit`.
void ask_member(
    app& it, const pooler::registration& member,
    std::optional<core::term_number> pause_at, std::chrono::milliseconds limit,
    std::function<void(std::optional<takeover::member_report>)> handler);

}  // namespace godwitbarrow::proxy::pooled
