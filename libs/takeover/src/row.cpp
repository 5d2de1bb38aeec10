#include "godwitbarrow/takeover/row.hpp"

#include <boost/json.hpp>

namespace godwitbarrow::takeover
{

namespace json = boost::json;
using std::chrono::milliseconds;

namespace detail
{
namespace
{

milliseconds time_of(const json::object& from, std::string_view key)
{
    return milliseconds(from.at(key).to_number<milliseconds::rep>());
}

std::string text_of(const json::object& from, std::string_view key)
{
    return std::string(from.at(key).as_string());
}

/// Parses the text and fills a row from it.
template <class Row, class Fill>
core::result<Row> decode(const std::string& text, const Fill& fill)
{
    try
    {
        const auto parsed = json::parse(text);
        return fill(parsed.as_object());
    }
    catch (const std::exception& e)
    {
        return core::error{core::error_kind::protocol_error,
                           std::string("the takeover row cannot be read (") +
                               e.what() + "); delete it"};
    }
}

}  // namespace
}  // namespace detail

std::string encode(const claim& it)
{
    return json::serialize(json::object{{"token", it.token},
                                        {"holder", it.holder.value},
                                        {"replaced", it.replaced.value},
                                        {"claimed_ms", it.made.count()}});
}

std::string encode(const vote& it)
{
    return json::serialize(json::object{{"suspect", it.suspect.value},
                                        {"since_ms", it.since.count()},
                                        {"renewed_ms", it.renewed.count()}});
}

core::result<claim> decode_claim(const std::string& text)
{
    return detail::decode<claim>(
        text,
        [](const json::object& from)
        {
            claim it;
            it.token = from.at("token").to_number<std::uint64_t>();
            it.holder = {detail::text_of(from, "holder")};
            it.replaced = {detail::text_of(from, "replaced")};
            it.made = detail::time_of(from, "claimed_ms");
            return it;
        });
}

core::result<vote> decode_vote(const std::string& text)
{
    return detail::decode<vote>(
        text,
        [](const json::object& from)
        {
            vote it;
            it.suspect = {detail::text_of(from, "suspect")};
            it.since = detail::time_of(from, "since_ms");
            it.renewed = detail::time_of(from, "renewed_ms");
            return it;
        });
}

}  // namespace godwitbarrow::takeover
