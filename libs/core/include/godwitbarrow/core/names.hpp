#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <utility>

/// Distinct string types for the names that occur in settings and messages.
namespace godwitbarrow::core
{

/// A string that cannot be mixed up with a name of another kind.
template <class Tag>
struct name
{
    std::string value;

    friend bool operator==(const name& a, const name& b)
    {
        return a.value == b.value;
    }
    friend bool operator!=(const name& a, const name& b)
    {
        return !(a == b);
    }
    friend bool operator<(const name& a, const name& b)
    {
        return a.value < b.value;
    }
    friend std::ostream& operator<<(std::ostream& os, const name& it)
    {
        return os << it.value;
    }
};

/// A database group: one primary and its replicas.
using group_id = name<struct group_tag>;
/// A backend server, that is one member of a group.
using server_id = name<struct server_tag>;
/// A host of the proxy.
using host_id = name<struct host_tag>;
using data_centre_id = name<struct data_centre_tag>;
using region_id = name<struct region_tag>;
/// A customer whose callers share keys and a quota.
using workspace_id = name<struct workspace_tag>;
using request_id = name<struct request_tag>;
using idempotency_key = name<struct idempotency_tag>;
/// "host/number": the host is the server owner that holds the connection.
using transaction_id = name<struct transaction_tag>;
/// Unique to one attempt of one writer; identifies its conditional writes.
using attempt_id = name<struct attempt_tag>;

}  // namespace godwitbarrow::core

template <class Tag>
struct std::hash<godwitbarrow::core::name<Tag>>
{
    std::size_t operator()(const godwitbarrow::core::name<Tag>& it) const
    {
        return std::hash<std::string>{}(it.value);
    }
};
