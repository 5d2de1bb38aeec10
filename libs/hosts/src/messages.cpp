#include "godwitbarrow/hosts/messages.hpp"

#include <algorithm>
#include <limits>

#include "godwitbarrow/hosts/generated/hosts_generated.h"

namespace godwitbarrow::hosts
{
namespace detail
{
namespace
{

using builder = flatbuffers::FlatBufferBuilder;
using std::chrono::milliseconds;

struct chosen_body
{
    wire::body kind;
    flatbuffers::Offset<void> at;
};

std::uint32_t wire_age(milliseconds age)
{
    constexpr auto most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(age.count(), 0, most));
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> put_bytes(
    builder& to, const std::string& it)
{
    return to.CreateVector(reinterpret_cast<const std::uint8_t*>(it.data()),
                           it.size());
}

chosen_body put(builder& to, const status& it)
{
    std::vector<flatbuffers::Offset<wire::host_sign>> signs;
    for (const auto& n : it.signs)
        signs.push_back(wire::Createhost_sign(to, to.CreateString(n.host.value),
                                              wire_age(n.age), n.leaving));
    std::vector<flatbuffers::Offset<wire::table_position>> tables;
    for (const auto& n : it.tables)
        tables.push_back(wire::Createtable_position(
            to, to.CreateString(n.name), n.era, n.version, wire_age(n.age)));
    const auto all_signs = to.CreateVector(signs);
    const auto all_tables = to.CreateVector(tables);
    return {wire::body::body_status,
            wire::Createstatus(to, all_signs, it.leaving, it.reads_store,
                               it.wants_rows, all_tables, it.follows,
                               it.supports_transfers)
                .Union()};
}

chosen_body put(builder& to, const row_update& it)
{
    std::vector<flatbuffers::Offset<wire::row>> rows;
    for (const auto& n : it.rows)
    {
        const auto key = to.CreateString(n.key);
        rows.push_back(wire::Createrow(to, key, put_bytes(to, n.value),
                                       n.version, n.deleted));
    }
    const auto name = to.CreateString(it.name);
    const auto all = to.CreateVector(rows);
    const auto store_time = static_cast<std::uint64_t>(it.store_time.count());
    return {wire::body::body_row_update,
            wire::Createrow_update(to, name, it.era, it.version, it.whole,
                                   it.after, wire_age(it.age), store_time, all,
                                   it.part, it.more)
                .Union()};
}

chosen_body put(builder& to, const row_request& it)
{
    return {wire::body::body_row_request,
            wire::Createrow_request(to, to.CreateString(it.name)).Union()};
}

chosen_body put(builder& to, const configuration_notice& it)
{
    return {
        wire::body::body_configuration_notice,
        wire::Createconfiguration_notice(to, it.version, it.supports_transfers,
                                         it.rows_era, it.rows_version)
            .Union()};
}

chosen_body put(builder& to, const configuration_request& it)
{
    return {wire::body::body_configuration_request,
            wire::Createconfiguration_request(to, it.version).Union()};
}

chosen_body put(builder& to, const configuration_content& it)
{
    const auto text = put_bytes(to, it.text);
    return {wire::body::body_configuration_content,
            wire::Createconfiguration_content(to, it.version, text).Union()};
}

/// Copies verified tables. Offsets can share a string, so that a small message
/// could otherwise expand to gigabytes.
struct reader
{
    std::size_t budget = 0;
    bool exceeded = false;
};

template <class Bytes>
std::string get(reader& in, const Bytes* it)
{
    if (!it || in.exceeded)
        return {};
    in.exceeded = it->size() > in.budget;
    if (in.exceeded)
        return {};
    in.budget -= it->size();
    const auto* begin = reinterpret_cast<const char*>(it->Data());
    return {begin, begin + it->size()};
}

template <class Vector, class Each>
void for_each(reader& in, const Vector* items, Each each)
{
    if (!items)
        return;
    for (const auto* it : *items)
    {
        if (in.exceeded)
            return;
        each(*it);
    }
}

message read(reader& in, const wire::status& it)
{
    status out;
    for_each(
        in, it.signs(),
        [&](const wire::host_sign& n)
        {
            out.signs.push_back(
                {{get(in, n.host())}, milliseconds(n.age_ms()), n.leaving()});
        });
    for_each(in, it.tables(),
             [&](const wire::table_position& n)
             {
                 out.tables.push_back({get(in, n.name()), n.era(), n.version(),
                                       milliseconds(n.age_ms())});
             });
    out.leaving = it.leaving();
    out.reads_store = it.reads_store();
    out.wants_rows = it.wants_rows();
    out.follows = it.follows();
    out.supports_transfers = it.supports_transfers();
    return out;
}

message read(reader& in, const wire::row_update& it)
{
    row_update out;
    out.name = get(in, it.name());
    out.era = it.era();
    out.version = it.version();
    out.whole = it.whole();
    out.after = it.after();
    out.age = milliseconds(it.age_ms());
    out.store_time = milliseconds(it.store_time_ms());
    out.part = it.part();
    out.more = it.more();
    for_each(in, it.rows(),
             [&](const wire::row& n)
             {
                 out.rows.push_back({get(in, n.key()), get(in, n.value()),
                                     n.version(), n.deleted()});
             });
    return out;
}

message read_body(reader& in, const wire::envelope& it)
{
    switch (it.body_type())
    {
        case wire::body::body_status:
            return read(in, *it.body_as_status());
        case wire::body::body_row_update:
            return read(in, *it.body_as_row_update());
        case wire::body::body_row_request:
            return row_request{get(in, it.body_as_row_request()->name())};
        case wire::body::body_configuration_notice:
        {
            const auto* n = it.body_as_configuration_notice();
            return configuration_notice{n->version(), n->supports_transfers(),
                                        n->rows_era(), n->rows_version()};
        }
        case wire::body::body_configuration_request:
            return configuration_request{
                it.body_as_configuration_request()->version()};
        case wire::body::body_configuration_content:
        {
            const auto* n = it.body_as_configuration_content();
            return configuration_content{n->version(), get(in, n->text())};
        }
        default:
            in.exceeded = true;
            return status{};
    }
}

core::error unreadable()
{
    return {core::error_kind::protocol_error,
            "a message of another host cannot be read; run the same version "
            "on all hosts"};
}

}  // namespace
}  // namespace detail

std::string encode(const message& it)
{
    detail::builder to;
    const auto body =
        std::visit([&](const auto& n) { return detail::put(to, n); }, it);
    wire::FinishenvelopeBuffer(to,
                               wire::Createenvelope(to, body.kind, body.at));
    return {reinterpret_cast<const char*>(to.GetBufferPointer()), to.GetSize()};
}

core::result<message> decode(std::string_view bytes)
{
    const auto* begin = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(begin, bytes.size());
    if (!wire::VerifyenvelopeBuffer(verifier))
        return detail::unreadable();
    detail::reader in;
    in.budget = bytes.size();
    auto out = detail::read_body(in, *wire::Getenvelope(begin));
    if (in.exceeded)
        return detail::unreadable();
    return out;
}

std::vector<row_update> split(row_update it, std::size_t part_bytes)
{
    auto rows = std::move(it.rows);
    it.rows = {};
    std::vector<row_update> out{it};
    std::size_t size = 0;
    for (auto& row : rows)
    {
        const auto row_bytes = row.key.size() + row.value.size();
        if (size > 0 && size + row_bytes > part_bytes)
        {
            out.back().more = true;
            out.push_back(it);
            out.back().part = static_cast<std::uint32_t>(out.size() - 1);
            size = 0;
        }
        size += row_bytes;
        out.back().rows.push_back(std::move(row));
    }
    return out;
}

}  // namespace godwitbarrow::hosts
