#include "godwitbarrow/takeover/row.hpp"

#include <boost/json.hpp>
#include <stdexcept>

namespace godwitbarrow::takeover
{

namespace json = boost::json;
using std::chrono::milliseconds;

namespace detail
{
namespace
{

milliseconds read_time(const json::object& object, std::string_view key)
{
    const auto n = object.at(key).to_number<milliseconds::rep>();
    if (n < 0)
        throw std::out_of_range(std::string(key) + " is negative");
    return milliseconds(n);
}

std::string read_text(const json::object& object, std::string_view key)
{
    return std::string(object.at(key).as_string());
}

/// Parses the JSON text and reads the fields of the row with `read_row`.
template <class Row, class ReadRow>
core::result<Row> decode(const std::string& text, const ReadRow& read_row)
{
    try
    {
        const auto parsed = json::parse(text);
        return read_row(parsed.as_object());
    }
    catch (const std::exception& e)
    {
        return core::error{core::error_kind::protocol_error,
                           std::string("cannot read the takeover row (") +
                               e.what() + "); delete the row"};
    }
}

}  // namespace
}  // namespace detail

std::string encode(const claim& row)
{
    return json::serialize(
        json::object{{"token", row.token},
                     {"holder", row.holder.value},
                     {"replaced", row.replaced.value},
                     {"claimed_ms", row.claimed_at.count()},
                     {"replicas_paused", row.replicas_paused},
                     {"era", row.era},
                     {"settled", row.settled.value}});
}

std::string encode(const vote& row)
{
    return json::serialize(
        json::object{{"suspect", row.suspect.value},
                     {"since_ms", row.unreachable_since.count()},
                     {"renewed_ms", row.renewed_at.count()}});
}

core::result<claim> decode_claim(const std::string& text)
{
    return detail::decode<claim>(
        text,
        [](const json::object& object)
        {
            claim row;
            row.token = object.at("token").to_number<std::uint64_t>();
            row.holder = {detail::read_text(object, "holder")};
            row.replaced = {detail::read_text(object, "replaced")};
            row.claimed_at = detail::read_time(object, "claimed_ms");
            // Rows of earlier versions lack these fields.
            if (const auto* paused = object.if_contains("replicas_paused"))
                row.replicas_paused = paused->as_bool();
            if (const auto* era = object.if_contains("era"))
                row.era = era->to_number<std::uint64_t>();
            if (object.contains("settled"))
                row.settled = {detail::read_text(object, "settled")};
            return row;
        });
}

core::result<vote> decode_vote(const std::string& text)
{
    return detail::decode<vote>(
        text,
        [](const json::object& object)
        {
            vote row;
            row.suspect = {detail::read_text(object, "suspect")};
            row.unreachable_since = detail::read_time(object, "since_ms");
            row.renewed_at = detail::read_time(object, "renewed_ms");
            return row;
        });
}

}  // namespace godwitbarrow::takeover
