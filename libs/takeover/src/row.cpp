#include "godwitbarrow/takeover/row.hpp"

#include <boost/json.hpp>

namespace godwitbarrow::takeover
{

namespace json = boost::json;
using std::chrono::milliseconds;

std::string encode(const row& it)
{
    json::object votes;
    for (const auto& [host, at] : it.votes)
        votes[host.value] = at.count();
    return json::serialize(json::object{{"token", it.token},
                                        {"holder", it.holder.value},
                                        {"replaced", it.replaced.value},
                                        {"claimed_ms", it.claimed.count()},
                                        {"suspect", it.suspect.value},
                                        {"votes", std::move(votes)}});
}

core::result<row> decode(const std::string& text)
{
    try
    {
        const auto parsed = json::parse(text);
        const auto& from = parsed.as_object();
        row it;
        it.token = from.at("token").to_number<std::uint64_t>();
        it.holder = {std::string(from.at("holder").as_string())};
        it.replaced = {std::string(from.at("replaced").as_string())};
        it.claimed =
            milliseconds(from.at("claimed_ms").to_number<milliseconds::rep>());
        it.suspect = {std::string(from.at("suspect").as_string())};
        for (const auto& n : from.at("votes").as_object())
            it.votes[{std::string(n.key())}] =
                milliseconds(n.value().to_number<milliseconds::rep>());
        return it;
    }
    catch (const std::exception& e)
    {
        return core::error{core::error_kind::protocol_error,
                           std::string("the takeover row cannot be read (") +
                               e.what() + "); delete it"};
    }
}

}  // namespace godwitbarrow::takeover
