#pragma once

#include <optional>
#include <string>
#include <vector>

#include "godwitbarrow/peer/generated/peer_generated.h"
#include "godwitbarrow/peer/messages.hpp"

/// Writing fields of FlatBuffers tables.
namespace godwitbarrow::peer::detail
{

using builder = flatbuffers::FlatBufferBuilder;
using text = flatbuffers::Offset<flatbuffers::String>;
template <class T>
using list = flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<T>>>;

template <class Tag>
text put(builder& to, const core::name<Tag>& it)
{
    return to.CreateString(it.value);
}

inline text put(builder& to, const std::string& it)
{
    return to.CreateString(it);
}

/// Offset 0 leaves the field out.
template <class T>
text put(builder& to, const std::optional<T>& it)
{
    return it ? put(to, *it) : text();
}

inline flatbuffers::Offset<wire::error> put(builder& to, const core::error& it)
{
    const auto kind = to.CreateString(std::string(core::to_string(it.kind)));
    return wire::Createerror(to, kind, put(to, it.message));
}

template <class T>
list<flatbuffers::String> put(builder& to, const std::vector<T>& items)
{
    std::vector<text> offsets;
    offsets.reserve(items.size());
    for (const auto& it : items)
        offsets.push_back(put(to, it));
    return to.CreateVector(offsets);
}

}  // namespace godwitbarrow::peer::detail
