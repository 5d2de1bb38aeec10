#include "decode_membership.hpp"

#include <algorithm>

namespace godwitbarrow::peer::detail
{
namespace
{

using membership::digest_count;
using membership::digests;

digests get_digests(reader& in, const flatbuffers::Vector<std::uint64_t>& from)
{
    digests out{};
    if (from.size() != digest_count)
        fail(in, "the number of digests differs from this version's");
    else
        std::copy(from.begin(), from.end(), out.begin());
    return out;
}

membership::settings_delta get_table(reader& in,
                                     const wire::generation_delta& it)
{
    return {it.base(), it.generation(), get(in, it.content())};
}

membership::host_entry get_table(reader& in, const wire::host_entry& it)
{
    membership::host_entry out;
    out.host.value = get(in, it.host());
    out.data_centre.value = get(in, it.data_centre());
    out.region.value = get(in, it.region());
    out.peer_endpoint = {get(in, it.address()), it.port()};
    out.leaving = it.leaving();
    return out;
}

membership::group_view get_table(reader& in, const wire::group_view& it)
{
    membership::group_view out;
    out.group.value = get(in, it.group());
    out.version = it.version();
    out.content = get(in, it.content());
    return out;
}

membership::host_report get_table(reader& in, const wire::host_report& it)
{
    membership::host_report out;
    out.host.value = get(in, it.host());
    out.version = it.version();
    out.suspected = it.suspected();
    out.leaving = it.leaving();
    out.unreachable = get_names<core::server_id>(in, it.unreachable());
    return out;
}

membership::host_delta get_table(reader& in, const wire::host_delta& it);
membership::host_chunk get_table(reader& in, const wire::host_chunk& it);

template <class T, class Vector>
std::vector<T> get_tables(reader& in, const Vector* items)
{
    std::vector<T> all;
    for_each(in, items, [&](auto* it) { all.push_back(get_table(in, *it)); });
    return all;
}

membership::host_delta get_table(reader& in, const wire::host_delta& it)
{
    membership::host_delta out;
    out.base = it.base();
    out.version = it.version();
    out.changed = get_tables<membership::host_entry>(in, it.changed());
    out.removed = get_names<core::host_id>(in, it.removed());
    out.leaving_servers = get_names<core::server_id>(in, it.leaving_servers());
    return out;
}

membership::host_chunk get_table(reader& in, const wire::host_chunk& it)
{
    membership::host_chunk out;
    out.version = it.version();
    out.index = it.index();
    out.count = it.count();
    if (out.index >= out.count)
        fail(in, "the chunk index is not below the chunk count");
    out.hosts = get_tables<membership::host_entry>(in, it.hosts());
    out.leaving_servers = get_names<core::server_id>(in, it.leaving_servers());
    return out;
}

}  // namespace

membership::summary get_summary(reader& in, const wire::summary& it)
{
    membership::summary out;
    out.settings_generation = it.settings_generation();
    out.hosts_version = it.hosts_version();
    out.views_digest = it.views_digest();
    out.reports_digest = it.reports_digest();
    out.own = get_table(in, *it.own());
    out.reply = it.reply();
    return out;
}

membership::news_request get_request(reader& in, const wire::news_request& it)
{
    membership::news_request out;
    out.settings_generation = it.settings_generation();
    out.hosts_version = it.hosts_version();
    out.chunk_version = it.chunk_version();
    out.chunk_index = it.chunk_index();
    out.views = get_digests(in, *it.views());
    out.reports = get_digests(in, *it.reports());
    return out;
}

membership::news get_news(reader& in, const wire::news& it)
{
    membership::news out;
    out.settings = get_tables<membership::settings_delta>(in, it.settings());
    out.hosts = get_tables<membership::host_delta>(in, it.hosts());
    out.chunks = get_tables<membership::host_chunk>(in, it.chunks());
    out.views = get_tables<membership::group_view>(in, it.views());
    out.reports = get_tables<membership::host_report>(in, it.reports());
    return out;
}

}  // namespace godwitbarrow::peer::detail
