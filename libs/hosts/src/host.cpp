#include "godwitbarrow/hosts/host.hpp"

#include <boost/json.hpp>

namespace godwitbarrow::hosts
{

namespace json = boost::json;

namespace detail
{
namespace
{

core::error unusable(const std::string& name)
{
    return {core::error_kind::protocol_error,
            "the row of host " + name +
                " names no address for peers; restart the host with "
                "listen.peers"};
}

std::string text_of(const json::object& from, std::string_view key)
{
    const auto* it = from.if_contains(key);
    return it && it->is_string() ? std::string(it->get_string()) : "";
}

double share_of(const json::object& from)
{
    const auto* it = from.if_contains("core_share");
    boost::system::error_code ec;
    const auto out = it ? it->to_number<double>(ec) : 0;
    return ec || !(out > 0) ? 1 : out;
}

}  // namespace
}  // namespace detail

std::string encode_host(const peer_host& it)
{
    return json::serialize(json::object{{"data_centre", it.data_centre.value},
                                        {"region", it.region.value},
                                        {"peers", core::to_string(it.address)},
                                        {"core_share", it.core_share},
                                        {"leaving", it.leaving}});
}

core::result<peer_host> decode_host(const std::string& name,
                                    const std::string& value)
{
    boost::system::error_code ec;
    const auto parsed = json::parse(value, ec);
    const auto* from = ec ? nullptr : parsed.if_object();
    if (!from)
        return detail::unusable(name);
    const auto address = core::parse_endpoint(detail::text_of(*from, "peers"));
    if (!ok(address) || std::get<core::endpoint>(address).port == 0)
        return detail::unusable(name);
    peer_host it;
    it.host = {name};
    it.data_centre = {detail::text_of(*from, "data_centre")};
    it.region = {detail::text_of(*from, "region")};
    it.address = std::get<core::endpoint>(address);
    it.core_share = detail::share_of(*from);
    const auto* leaving = from->if_contains("leaving");
    it.leaving = leaving && leaving->is_bool() && leaving->get_bool();
    return it;
}

}  // namespace godwitbarrow::hosts
