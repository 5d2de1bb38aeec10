#pragma once

#include "reader.hpp"

/// Decoding of the messages about hosts and what they share.
namespace godwitbarrow::peer::detail
{

membership::summary get_summary(reader& in, const wire::summary& it);
membership::news_request get_request(reader& in, const wire::news_request& it);
membership::news get_news(reader& in, const wire::news& it);

}  // namespace godwitbarrow::peer::detail
