#include "godwitbarrow/relay/messages.hpp"

#include <algorithm>

#include "godwitbarrow/relay/generated/relay_generated.h"

namespace godwitbarrow::relay
{
namespace detail
{
namespace
{

/// Of an encoded item besides its bytes.
constexpr std::size_t item_overhead = 48;

core::error invalid(const char* why)
{
    return {core::error_kind::protocol_error,
            std::string("a message about relayed sessions ") + why +
                "; run the same version on all hosts"};
}

bool is_known(std::uint8_t kind)
{
    return kind >= static_cast<std::uint8_t>(item_kind::start) &&
           kind <= static_cast<std::uint8_t>(item_kind::draining);
}

flatbuffers::Offset<wire::item> put(flatbuffers::FlatBufferBuilder& to,
                                    const item& it)
{
    const auto bytes =
        to.CreateVector(reinterpret_cast<const std::uint8_t*>(it.bytes.data()),
                        it.bytes.size());
    return wire::Createitem(to, static_cast<std::uint8_t>(it.kind), it.session,
                            bytes, it.more, it.idle);
}

item get(const wire::item& from)
{
    item out;
    out.kind = static_cast<item_kind>(from.kind());
    out.session = from.session();
    if (const auto* bytes = from.bytes())
        out.bytes.assign(reinterpret_cast<const char*>(bytes->data()),
                         bytes->size());
    out.more = from.more();
    out.idle = from.idle();
    return out;
}

}  // namespace
}  // namespace detail

bool is_for_owner(item_kind it)
{
    return it == item_kind::start || it == item_kind::line ||
           it == item_kind::disconnected;
}

std::size_t approximate_size(const item& it)
{
    return it.bytes.size() + detail::item_overhead;
}

item make_item(item_kind kind, std::uint64_t session)
{
    item out;
    out.kind = kind;
    out.session = session;
    return out;
}

std::vector<item> split(item it)
{
    std::vector<item> out;
    std::size_t done = 0;
    while (it.bytes.size() - done > max_item_bytes)
    {
        out.push_back({it.kind, it.session,
                       it.bytes.substr(done, max_item_bytes), true, it.idle});
        done += max_item_bytes;
    }
    it.bytes.erase(0, done);
    out.push_back(std::move(it));
    return out;
}

std::vector<batch> make_batches(std::uint64_t configuration,
                                std::vector<item> items)
{
    std::vector<batch> out;
    std::size_t size = 0;
    for (auto& it : items)
    {
        const auto added = approximate_size(it);
        if (out.empty() || size + added > max_batch_bytes)
        {
            out.push_back({configuration, {}, std::nullopt});
            size = 0;
        }
        size += added;
        out.back().items.push_back(std::move(it));
    }
    return out;
}

std::string encode(const batch& it)
{
    flatbuffers::FlatBufferBuilder to;
    std::vector<flatbuffers::Offset<wire::item>> items;
    items.reserve(it.items.size());
    for (const auto& n : it.items)
        items.push_back(detail::put(to, n));
    const auto all = to.CreateVector(items);
    flatbuffers::Optional<std::uint64_t> taken;
    if (it.taken)
        taken = *it.taken;
    wire::FinishbatchBuffer(
        to, wire::Createbatch(to, it.configuration, all, taken));
    return {reinterpret_cast<const char*>(to.GetBufferPointer()), to.GetSize()};
}

core::result<batch> decode(std::string_view bytes)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!wire::VerifybatchBuffer(verifier))
        return detail::invalid("is damaged");
    const auto* from = wire::Getbatch(data);
    batch out;
    out.configuration = from->configuration();
    if (const auto taken = from->taken())
        out.taken = *taken;
    out.items.reserve(from->items()->size());
    for (const auto* it : *from->items())
    {
        if (!detail::is_known(it->kind()))
            return detail::invalid("is of an unknown kind");
        out.items.push_back(detail::get(*it));
    }
    return out;
}

}  // namespace godwitbarrow::relay
