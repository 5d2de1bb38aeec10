#include "godwitbarrow/store/codec.hpp"

#include <boost/json.hpp>
#include <exception>
#include <optional>
#include <stdexcept>

namespace godwitbarrow::store
{

namespace json = boost::json;

namespace detail
{
namespace
{

constexpr unsigned code_ok = 200;
constexpr unsigned code_not_found = 404;
constexpr unsigned code_conflict = 409;
constexpr unsigned first_server_error = 500;

bool is_unreserved(char c)
{
    const auto in = [c](char a, char b)
    {
        return a <= c && c <= b;
    };
    return in('a', 'z') || in('A', 'Z') || in('0', '9') || c == '-' ||
           c == '_' || c == '.' || c == '~';
}

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string s;
    for (const char c : text)
    {
        if (is_unreserved(c))
        {
            s += c;
            continue;
        }
        const auto n = static_cast<unsigned char>(c);
        s += '%';
        s += digits[n >> 4U];
        s += digits[n & 15U];
    }
    return s;
}

std::optional<core::error> error_of(unsigned code)
{
    using core::error_kind;
    if (code == code_ok)
        return {};
    if (code == code_not_found)
        return core::error{error_kind::not_found,
                           "the platform has no such entry; write it first"};
    if (code == code_conflict)
        return core::error{error_kind::conflict,
                           "the row has another version; read it again"};
    const auto number = std::to_string(code);
    if (code >= first_server_error)
        return core::error{
            error_kind::store_unavailable,
            "the platform's service answered " + number + "; try again later"};
    return core::error{error_kind::protocol_error,
                       "the platform's service answered " + number +
                           "; check that its version fits this one"};
}

core::error malformed(const std::exception& e)
{
    return {core::error_kind::protocol_error,
            std::string("malformed answer of the platform's service (") +
                e.what() + "); check that its version fits this one"};
}

/// Parses the body of a successful answer with `read`, which may throw.
template <class T, class Read>
core::result<T> decode(unsigned code, std::string_view body, Read read)
{
    if (auto e = error_of(code))
        return *std::move(e);
    try
    {
        const auto value = json::parse(json::string_view(body));
        return read(value.as_object());
    }
    catch (const std::exception& e)
    {
        return malformed(e);
    }
}

std::string text(const json::object& o, const char* field)
{
    return std::string(o.at(field).as_string());
}

std::uint64_t version_of(const json::object& o)
{
    return o.at("version").to_number<std::uint64_t>();
}

host_kind parse_kind(std::string_view s)
{
    if (s == "host")
        return host_kind::host;
    if (s == "backend_server")
        return host_kind::backend_server;
    throw std::invalid_argument("unknown kind of host");
}

host_state parse_state(std::string_view s)
{
    if (s == "live")
        return host_state::live;
    if (s == "leaving")
        return host_state::leaving;
    throw std::invalid_argument("unknown state of a host");
}

host_list read_hosts(const json::object& o)
{
    host_list all;
    all.version = version_of(o);
    for (const auto& v : o.at("hosts").as_array())
    {
        const auto& h = v.as_object();
        all.entries.push_back({text(h, "name"), parse_kind(text(h, "kind")),
                               parse_state(text(h, "state"))});
    }
    return all;
}

}  // namespace
}  // namespace detail

std::string row_path(std::string_view table, std::string_view key)
{
    return "/table/" + detail::percent_encode(table) + "/" +
           detail::percent_encode(key);
}

std::string object_path(std::string_view digest)
{
    return "/objects/" + detail::percent_encode(digest);
}

std::string encode_row_write(std::string_view value,
                             std::uint64_t expected_version)
{
    return json::serialize(
        json::object{{"value", json::string_view(value)},
                     {"expected_version", expected_version}});
}

core::result<versioned_value> decode_row(unsigned code, std::string_view body)
{
    return detail::decode<versioned_value>(code, body,
                                           [](const json::object& o) {
                                               return versioned_value{
                                                   detail::text(o, "value"),
                                                   detail::version_of(o)};
                                           });
}

core::result<std::uint64_t> decode_version(unsigned code, std::string_view body)
{
    return detail::decode<std::uint64_t>(code, body, detail::version_of);
}

core::result<std::string> decode_object(unsigned code, std::string body)
{
    if (auto e = detail::error_of(code))
        return *std::move(e);
    return body;
}

core::result<host_list> decode_hosts(unsigned code, std::string_view body)
{
    return detail::decode<host_list>(code, body, detail::read_hosts);
}

}  // namespace godwitbarrow::store
