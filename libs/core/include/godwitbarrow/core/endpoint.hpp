#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "godwitbarrow/core/error.hpp"

namespace godwitbarrow::core
{

/// A TCP address in numbers, for example 127.0.0.1:7001.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint& a, const endpoint& b)
    {
        return a.address == b.address && a.port == b.port;
    }
};

/// Accepts "ADDRESS:PORT" with an IPv4 address or an IPv6 one in brackets.
result<endpoint> parse_endpoint(std::string_view text);

std::string to_string(const endpoint& it);

}  // namespace godwitbarrow::core
