#include "godwitbarrow/core/endpoint.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace godwitbarrow::core
{
namespace detail
{
namespace
{

error invalid_endpoint(std::string_view text)
{
    return {error_kind::invalid_settings,
            "\"" + std::string(text) +
                "\" is not an address; write IP:PORT, for example "
                "127.0.0.1:7001"};
}

std::string_view without_brackets(std::string_view text)
{
    if (text.size() > 2 && text.front() == '[' && text.back() == ']')
        return text.substr(1, text.size() - 2);
    return text;
}

}  // namespace
}  // namespace detail

result<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return detail::invalid_endpoint(text);
    const auto host = detail::without_brackets(text.substr(0, colon));
    const auto digits = text.substr(colon + 1);
    endpoint it;
    const auto [end, ec] =
        std::from_chars(digits.data(), digits.data() + digits.size(), it.port);
    boost::system::error_code address_error;
    boost::asio::ip::make_address(std::string(host), address_error);
    if (ec != std::errc() || end != digits.data() + digits.size() ||
        address_error)
        return detail::invalid_endpoint(text);
    it.address = host;
    return it;
}

std::string to_string(const endpoint& it)
{
    const bool v6 = it.address.find(':') != std::string::npos;
    const auto host = v6 ? "[" + it.address + "]" : it.address;
    return host + ":" + std::to_string(it.port);
}

}  // namespace godwitbarrow::core
