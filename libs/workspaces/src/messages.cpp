#include "godwitbarrow/workspaces/messages.hpp"

#include "generated/quota_generated.h"

namespace godwitbarrow::workspaces
{
namespace detail
{
namespace
{

constexpr std::size_t initial_bytes = 128;
/// A longer time is taken for an error.
constexpr std::chrono::milliseconds longest_retry{60000};

using builder = flatbuffers::FlatBufferBuilder;

struct body
{
    wire::body type;
    flatbuffers::Offset<void> value;
};

struct writer
{
    builder& to;

    body operator()(const share_request& it) const
    {
        return {wire::body_share_request,
                wire::Createshare_request(to, it.group, it.round).Union()};
    }
    body operator()(const share_grant& it) const
    {
        return {
            wire::body_share_grant,
            wire::Createshare_grant(to, it.group, it.round, it.share).Union()};
    }
    body operator()(const loan_request& it) const
    {
        const auto workspace = to.CreateString(it.workspace.value);
        return {wire::body_loan_request,
                wire::Createloan_request(to, workspace, it.round, it.wanted)
                    .Union()};
    }
    body operator()(const loan_grant& it) const
    {
        const auto workspace = to.CreateString(it.workspace.value);
        const auto retry = static_cast<std::uint32_t>(it.retry_after.count());
        return {wire::body_loan_grant,
                wire::Createloan_grant(to, workspace, it.round, it.count, retry)
                    .Union()};
    }
};

core::error invalid(const std::string& what)
{
    return {core::error_kind::protocol_error,
            "a message about quotas has " + what + "; it is ignored"};
}

core::result<quota_message> read(const wire::share_request& it)
{
    if (it.group() >= lending_groups)
        return invalid("an unknown group");
    return quota_message{share_request{it.group(), it.round()}};
}

core::result<quota_message> read(const wire::share_grant& it)
{
    if (it.group() >= lending_groups)
        return invalid("an unknown group");
    if (!(it.share() > 0 && it.share() <= 1))
        return invalid("a share that is out of range");
    return quota_message{share_grant{it.group(), it.round(), it.share()}};
}

core::result<quota_message> read(const wire::loan_request& it)
{
    return quota_message{
        loan_request{{it.workspace()->str()}, it.round(), it.wanted()}};
}

core::result<quota_message> read(const wire::loan_grant& it)
{
    const std::chrono::milliseconds retry(it.retry_after_ms());
    if (retry > longest_retry)
        return invalid("a time that is out of range");
    return quota_message{
        loan_grant{{it.workspace()->str()}, it.round(), it.count(), retry}};
}

}  // namespace
}  // namespace detail

std::string encode(const quota_message& it)
{
    detail::builder to(detail::initial_bytes);
    const auto body = std::visit(detail::writer{to}, it);
    wire::FinishmessageBuffer(to,
                              wire::Createmessage(to, body.type, body.value));
    return {reinterpret_cast<const char*>(to.GetBufferPointer()), to.GetSize()};
}

core::result<quota_message> decode(std::string_view bytes)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!wire::VerifymessageBuffer(verifier))
        return detail::invalid("bytes that cannot be read");
    const auto& it = *wire::Getmessage(data);
    switch (it.body_type())
    {
        case wire::body_share_request:
            return detail::read(*it.body_as_share_request());
        case wire::body_share_grant:
            return detail::read(*it.body_as_share_grant());
        case wire::body_loan_request:
            return detail::read(*it.body_as_loan_request());
        case wire::body_loan_grant:
            return detail::read(*it.body_as_loan_grant());
        default:
            return detail::invalid("a kind of a later version");
    }
}

}  // namespace godwitbarrow::workspaces
