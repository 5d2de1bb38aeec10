#pragma once

#include "builder.hpp"

/// Encoding of the messages about hosts and what they share.
namespace godwitbarrow::peer::detail
{

flatbuffers::Offset<wire::summary> put_summary(builder& to,
                                               const membership::summary& it);
flatbuffers::Offset<wire::news_request> put_request(
    builder& to, const membership::news_request& it);
flatbuffers::Offset<wire::news> put_news(builder& to,
                                         const membership::news& it);

}  // namespace godwitbarrow::peer::detail
