#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/workspaces/shares.hpp"

/// Messages about quotas between hosts and their FlatBuffers encoding.
namespace godwitbarrow::workspaces
{

/// Asks the receiver to delegate its share to the sender.
struct share_request
{
    lending_group group = 0;
    /// Returned in the answer.
    std::uint64_t round = 0;
};

struct share_grant
{
    lending_group group = 0;
    std::uint64_t round = 0;
    double share = 0;
};

/// Asks the lender for operations of a workspace.
struct loan_request
{
    core::workspace_id workspace;
    std::uint64_t round = 0;
    std::uint32_t wanted = 0;
};

struct loan_grant
{
    core::workspace_id workspace;
    std::uint64_t round = 0;
    std::uint32_t count = 0;
    /// If fewer than wanted were lent: time until there are more.
    std::chrono::milliseconds retry_after{0};
};

using quota_message =
    std::variant<share_request, share_grant, loan_request, loan_grant>;

std::string encode(const quota_message& it);

/// Errors: protocol_error if the bytes are no message or its numbers are out of
/// range.
core::result<quota_message> decode(std::string_view bytes);

}  // namespace godwitbarrow::workspaces
