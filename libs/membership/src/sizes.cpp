#include <string>

#include "godwitbarrow/membership/decide.hpp"
#include "sizes.hpp"

namespace godwitbarrow::membership
{
namespace
{

// Estimates for FlatBuffers: offsets, alignment and the table around a value.
constexpr std::size_t message_overhead = 32;
constexpr std::size_t table_overhead = 16;
constexpr std::size_t number_size = 8;

std::size_t size_of(const std::string& it)
{
    return number_size + it.size();
}

template <class T>
std::size_t size_of_names(const std::vector<T>& it)
{
    std::size_t n = number_size;
    for (const auto& name : it)
        n += size_of(name.value);
    return n;
}

std::size_t size_of_hosts(const std::vector<host_entry>& it)
{
    std::size_t n = number_size;
    for (const auto& host : it)
        n += size_of(host);
    return n;
}

template <class T>
std::size_t size_of_all(const std::vector<T>& it)
{
    std::size_t n = 0;
    for (const auto& element : it)
        n += size_of(element);
    return n;
}

}  // namespace

std::size_t size_of(const host_entry& it)
{
    return table_overhead + size_of(it.host.value) +
           size_of(it.data_centre.value) + size_of(it.region.value) +
           size_of(it.peer_endpoint.address) + number_size;
}

std::size_t size_of(const host_delta& it)
{
    return table_overhead + 2 * number_size + size_of_hosts(it.changed) +
           size_of_names(it.removed) + size_of_names(it.leaving_servers);
}

std::size_t size_of(const host_chunk& it)
{
    return table_overhead + 3 * number_size + size_of_hosts(it.hosts) +
           size_of_names(it.leaving_servers);
}

std::size_t size_of(const settings_delta& it)
{
    return table_overhead + 2 * number_size + size_of(it.content);
}

std::size_t size_of(const group_view& it)
{
    return table_overhead + number_size + size_of(it.group.value) +
           size_of(it.content);
}

std::size_t size_of(const host_report& it)
{
    return table_overhead + 2 * number_size + size_of(it.host.value) +
           size_of_names(it.unreachable);
}

std::size_t size_of(const news& it)
{
    return message_overhead + size_of_all(it.settings) + size_of_all(it.hosts) +
           size_of_all(it.chunks) + size_of_all(it.views) +
           size_of_all(it.reports);
}

std::size_t size_of(const summary& it)
{
    return message_overhead + 5 * number_size + size_of(it.own);
}

std::size_t size_of(const news_request& it)
{
    return message_overhead +
           (4 + it.views.size() + it.reports.size()) * number_size;
}

}  // namespace godwitbarrow::membership
