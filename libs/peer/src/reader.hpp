#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "godwitbarrow/peer/generated/peer_generated.h"
#include "godwitbarrow/peer/messages.hpp"

/// Reading fields of FlatBuffers tables.
namespace godwitbarrow::peer::detail
{

/// Reads verified tables. The first fault is kept, and the values read after
/// it are meaningless.
struct reader
{
    /// Text that may still be copied. Offsets can share a string, so that a
    /// small frame could otherwise expand to gigabytes.
    std::size_t text_budget = 0;
    core::time_point now;
    const char* fault = nullptr;
};

inline void fail(reader& in, const char* what)
{
    if (!in.fault)
        in.fault = what;
}

inline std::string get(reader& in, const flatbuffers::String* it)
{
    if (!it)
        return {};
    if (it->size() > in.text_budget)
    {
        fail(in, "strings are longer than the message");
        return {};
    }
    in.text_budget -= it->size();
    return it->str();
}

template <class Name>
Name get_name(reader& in, const flatbuffers::String* it)
{
    return Name{get(in, it)};
}

template <class Name>
std::optional<Name> get_optional(reader& in, const flatbuffers::String* it)
{
    if (!it)
        return std::nullopt;
    return Name{get(in, it)};
}

/// Calls `each` for every element until the first fault.
template <class Vector, class Each>
void for_each(reader& in, const Vector* items, Each each)
{
    if (!items)
        return;
    for (const auto* it : *items)
    {
        each(it);
        if (in.fault)
            return;
    }
}

using text_vector =
    flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;

inline std::vector<std::string> get(reader& in, const text_vector* items)
{
    std::vector<std::string> all;
    for_each(in, items, [&](auto* it) { all.push_back(get(in, it)); });
    return all;
}

template <class Name>
std::vector<Name> get_names(reader& in, const text_vector* items)
{
    std::vector<Name> all;
    for_each(in, items, [&](auto* it) { all.push_back({get(in, it)}); });
    return all;
}

}  // namespace godwitbarrow::peer::detail
