#include "encode_membership.hpp"

namespace godwitbarrow::peer::detail
{
namespace
{

flatbuffers::Offset<wire::host_entry> put_table(
    builder& to, const membership::host_entry& it)
{
    const auto host = put(to, it.host);
    const auto data_centre = put(to, it.data_centre);
    const auto region = put(to, it.region);
    const auto address = put(to, it.peer_endpoint.address);
    return wire::Createhost_entry(to, host, data_centre, region, address,
                                  it.peer_endpoint.port, it.leaving);
}

flatbuffers::Offset<wire::generation_delta> put_table(
    builder& to, const membership::settings_delta& it)
{
    const auto content = put(to, it.content);
    return wire::Creategeneration_delta(to, it.base, it.generation, content);
}

flatbuffers::Offset<wire::group_view> put_table(
    builder& to, const membership::group_view& it)
{
    const auto group = put(to, it.group);
    const auto content = put(to, it.content);
    return wire::Creategroup_view(to, group, it.version, content);
}

flatbuffers::Offset<wire::host_report> put_table(
    builder& to, const membership::host_report& it)
{
    const auto host = put(to, it.host);
    const auto unreachable = put(to, it.unreachable);
    return wire::Createhost_report(to, host, it.version, it.suspected,
                                   it.leaving, unreachable);
}

flatbuffers::Offset<wire::host_delta> put_table(
    builder& to, const membership::host_delta& it);
flatbuffers::Offset<wire::host_chunk> put_table(
    builder& to, const membership::host_chunk& it);

template <class Table, class T>
list<Table> put_tables(builder& to, const std::vector<T>& items)
{
    std::vector<flatbuffers::Offset<Table>> offsets;
    offsets.reserve(items.size());
    for (const auto& it : items)
        offsets.push_back(put_table(to, it));
    return to.CreateVector(offsets);
}

flatbuffers::Offset<wire::host_delta> put_table(
    builder& to, const membership::host_delta& it)
{
    const auto changed = put_tables<wire::host_entry>(to, it.changed);
    const auto removed = put(to, it.removed);
    const auto leaving = put(to, it.leaving_servers);
    return wire::Createhost_delta(to, it.base, it.version, changed, removed,
                                  leaving);
}

flatbuffers::Offset<wire::host_chunk> put_table(
    builder& to, const membership::host_chunk& it)
{
    const auto hosts = put_tables<wire::host_entry>(to, it.hosts);
    const auto leaving = put(to, it.leaving_servers);
    return wire::Createhost_chunk(to, it.version, it.index, it.count, hosts,
                                  leaving);
}

}  // namespace

flatbuffers::Offset<wire::summary> put_summary(builder& to,
                                               const membership::summary& it)
{
    const auto own = put_table(to, it.own);
    return wire::Createsummary(to, it.settings_generation, it.hosts_version,
                               it.views_digest, it.reports_digest, own,
                               it.reply);
}

flatbuffers::Offset<wire::news_request> put_request(
    builder& to, const membership::news_request& it)
{
    const auto views = to.CreateVector(it.views.data(), it.views.size());
    const auto reports = to.CreateVector(it.reports.data(), it.reports.size());
    return wire::Createnews_request(to, it.settings_generation,
                                    it.hosts_version, it.chunk_version,
                                    it.chunk_index, views, reports);
}

flatbuffers::Offset<wire::news> put_news(builder& to,
                                         const membership::news& it)
{
    const auto settings = put_tables<wire::generation_delta>(to, it.settings);
    const auto hosts = put_tables<wire::host_delta>(to, it.hosts);
    const auto chunks = put_tables<wire::host_chunk>(to, it.chunks);
    const auto views = put_tables<wire::group_view>(to, it.views);
    const auto reports = put_tables<wire::host_report>(to, it.reports);
    return wire::Createnews(to, settings, hosts, chunks, views, reports);
}

}  // namespace godwitbarrow::peer::detail
