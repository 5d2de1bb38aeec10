#include "godwitbarrow/transfer/messages.hpp"

#include "godwitbarrow/transfer/generated/transfer_generated.h"

namespace godwitbarrow::transfer
{
namespace detail
{
namespace
{

using builder = flatbuffers::FlatBufferBuilder;

struct chosen_body
{
    wire::body kind;
    flatbuffers::Offset<void> at;
};

core::error invalid()
{
    return {core::error_kind::protocol_error,
            "a message about transfers cannot be read; run the same version on "
            "all hosts"};
}

chosen_body put(builder& to, const notice& it)
{
    return {wire::body::body_notice,
            wire::Createnotice(to, to.CreateString(it.name), it.at.era,
                               it.at.version)
                .Union()};
}

chosen_body put(builder& to, const request& it)
{
    return {wire::body::body_request,
            wire::Createrequest(to, to.CreateString(it.name), it.at.era,
                                it.at.version, it.offset, it.fetch)
                .Union()};
}

chosen_body put(builder& to, const chunk& it)
{
    const auto name = to.CreateString(it.name);
    const auto* begin = reinterpret_cast<const std::uint8_t*>(it.bytes.data());
    const auto bytes = to.CreateVector(begin, it.bytes.size());
    return {wire::body::body_chunk,
            wire::Createchunk(to, name, it.at.era, it.at.version, it.size,
                              it.offset, bytes, it.fetch)
                .Union()};
}

chosen_body put(builder& to, const queued& it)
{
    return {wire::body::body_queued,
            wire::Createqueued(to, to.CreateString(it.name), it.fetch).Union()};
}

chosen_body put(builder& to, const finished& it)
{
    return {wire::body::body_finished,
            wire::Createfinished(to, to.CreateString(it.name)).Union()};
}

message get(const wire::notice& from)
{
    return notice{from.name()->str(), {from.era(), from.version()}};
}

message get(const wire::request& from)
{
    return request{from.name()->str(),
                   {from.era(), from.version()},
                   from.offset(),
                   from.fetch()};
}

message get(const wire::chunk& from)
{
    chunk out{from.name()->str(),
              {from.era(), from.version()},
              from.size(),
              from.offset(),
              {},
              from.fetch()};
    if (const auto* bytes = from.bytes())
        out.bytes.assign(reinterpret_cast<const char*>(bytes->data()),
                         bytes->size());
    return out;
}

message get(const wire::queued& from)
{
    return queued{from.name()->str(), from.fetch()};
}

message get(const wire::finished& from)
{
    return finished{from.name()->str()};
}

}  // namespace
}  // namespace detail

std::string encode(const message& it)
{
    detail::builder to;
    const auto body =
        std::visit([&](const auto& x) { return detail::put(to, x); }, it);
    wire::FinishenvelopeBuffer(to,
                               wire::Createenvelope(to, body.kind, body.at));
    return {reinterpret_cast<const char*>(to.GetBufferPointer()), to.GetSize()};
}

core::result<message> decode(std::string_view bytes)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!wire::VerifyenvelopeBuffer(verifier))
        return detail::invalid();
    const auto* from = wire::Getenvelope(data);
    switch (from->body_type())
    {
        case wire::body::body_notice:
            return detail::get(*from->body_as_notice());
        case wire::body::body_request:
            return detail::get(*from->body_as_request());
        case wire::body::body_chunk:
            return detail::get(*from->body_as_chunk());
        case wire::body::body_queued:
            return detail::get(*from->body_as_queued());
        case wire::body::body_finished:
            return detail::get(*from->body_as_finished());
        default:
            return detail::invalid();
    }
}

}  // namespace godwitbarrow::transfer
