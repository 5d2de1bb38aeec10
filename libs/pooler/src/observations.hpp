#pragma once

#include "output.hpp"

/// What the answers of a member tell about it.
namespace godwitbarrow::pooler::detail
{

/// Returns the member that the connection leads to, or null if it is gone.
member* find_member(context& ctx, const backend_connection& c);

void log_observation(context& ctx, const backend_connection& c,
                     std::string what, std::string detail);

/// Updates the state of the member from its refusal.
void record_refusal(context& ctx, backend_connection& c, const failure& why);

/// Records that the member acted as the primary.
void record_primary_proof(context& ctx, const backend_connection& c,
                          const std::optional<core::log_position>& at);

}  // namespace godwitbarrow::pooler::detail
