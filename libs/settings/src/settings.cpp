#include "godwitbarrow/settings/settings.hpp"

#include <algorithm>
#include <tuple>

#include "ini_file.hpp"
#include "validate.hpp"
#include "values.hpp"

namespace godwitbarrow::settings
{
namespace detail
{
namespace
{

void fill_platform(settings& to, section_reader& reader)
{
    to.platform.address = read_endpoint(reader, "address");
    to.platform.timeout = read_duration(reader, "timeout");
}

void fill_data_centre(settings& to, section_reader& reader)
{
    auto& entry = to.data_centres[core::data_centre_id{reader.from.name}];
    entry.region.value = read_name(reader, "region");
}

void fill_latency(settings& to, section_reader& reader)
{
    auto& entry = to.data_centres[core::data_centre_id{reader.from.name}];
    for (const auto& [key, value] : reader.from.entries)
        entry.latency[core::data_centre_id{key}] =
            read_short_duration(reader, key);
}

void fill_host(settings& to, section_reader& reader)
{
    auto& entry = to.hosts[core::host_id{reader.from.name}];
    entry.address = read_ip_address(reader, "address");
    entry.caller_port = read_port(reader, "caller_port");
    entry.peer_port = read_port(reader, "peer_port");
    entry.admin_port = read_port(reader, "admin_port");
    entry.admin_address = read_ip_address(reader, "admin_address");
    entry.data_centre.value = read_name(reader, "data_centre");
}

void fill_group(settings& to, section_reader& reader)
{
    auto& entry = to.groups[core::group_id{reader.from.name}];
    entry.description = read_text(reader, "description");
}

void fill_backend_server(settings& to, section_reader& reader)
{
    auto& entry = to.backend_servers[core::server_id{reader.from.name}];
    entry.group.value = read_name(reader, "group");
    entry.address = read_endpoint(reader, "address");
    entry.data_centre.value = read_name(reader, "data_centre");
    entry.slots = read_count(reader, "slots");
    entry.connections = read_count(reader, "connections");
}

void fill_kind(settings& to, section_reader& reader)
{
    auto& entry = to.kinds[reader.from.name];
    entry.importance = static_cast<core::rank>(read_choice(reader, "rank"));
    entry.worth = read_number(reader, "worth");
}

void fill_rank(settings& to, section_reader& reader)
{
    const auto which = core::parse_rank(reader.from.name);
    if (!which)
        return;  // reported by check_names
    auto& entry = to.ranks[core::index_of(*which)];
    entry.minimum_share = read_percent(reader, "minimum_share");
    entry.reserved_slots = read_count(reader, "reserved_slots");
    entry.objective = read_percent(reader, "objective");
    entry.latency_objective = read_duration(reader, "latency_objective");
    entry.deadline = read_duration(reader, "deadline");
}

void fill_limits(settings& to, section_reader& reader)
{
    auto& entry = to.limits;
    entry.body = read_size(reader, "body");
    entry.header = read_size(reader, "header");
    entry.open_connections = read_count(reader, "open_connections");
    entry.request_read_time = read_duration(reader, "request_read_time");
    entry.drain_limit = read_duration(reader, "drain_limit");
    entry.transaction_idle_limit =
        read_duration(reader, "transaction_idle_limit");
    entry.idle_age = read_duration(reader, "idle_age");
    entry.probe_after = read_duration(reader, "probe_after");
    entry.retry_ratio = read_percent(reader, "retry_ratio");
    entry.queue =
        static_cast<queue_policy>(read_choice(reader, "queue_policy"));
    entry.reads = static_cast<read_policy>(read_choice(reader, "read_policy"));
}

void fill_team(settings& to, section_reader& reader)
{
    auto& entry = to.teams[reader.from.name];
    entry.kinds = read_names(reader, "kinds");
    entry.limit = read_count(reader, "limit");
}

struct section_filler
{
    std::string_view type;
    void (*fill)(settings& to, section_reader& reader);
};

constexpr std::array<section_filler, 10> fillers{
    {{"platform", fill_platform},
     {"data_centre", fill_data_centre},
     {"latency", fill_latency},
     {"host", fill_host},
     {"group", fill_group},
     {"backend_server", fill_backend_server},
     {"kind", fill_kind},
     {"rank", fill_rank},
     {"limits", fill_limits},
     {"team", fill_team}}};

void fill_section(settings& to, section_reader& reader)
{
    for (const auto& filler : fillers)
        if (filler.type == reader.from.type)
            filler.fill(to, reader);
}

void collect_members(settings& to)
{
    for (const auto& [name, server] : to.backend_servers)
    {
        const auto it = to.groups.find(server.group);
        if (it != to.groups.end())
            it->second.members.push_back(name);
    }
}

/// A latency configured in one direction applies to both.
void mirror_latency(settings& to)
{
    const auto stated = to.data_centres;
    for (const auto& [from, centre] : stated)
        for (const auto& [other, time] : centre.latency)
        {
            const auto it = to.data_centres.find(other);
            if (it != to.data_centres.end())
                it->second.latency.try_emplace(from, time);
        }
}

bool is_earlier(const problem& a, const problem& b)
{
    return std::tie(a.file, a.line) < std::tie(b.file, b.line);
}

}  // namespace
}  // namespace detail

std::variant<settings, std::vector<problem>> parse_settings(
    const file_set& files)
{
    std::vector<problem> problems;
    const auto sections = detail::merge_files(files, problems);
    detail::check_names(sections, problems);
    settings merged;
    for (const auto& [header, from] : sections)
    {
        detail::section_reader reader{from, problems};
        detail::fill_section(merged, reader);
    }
    detail::collect_members(merged);
    detail::check_consistency(merged, sections, problems);
    if (problems.empty())
    {
        detail::mirror_latency(merged);
        return merged;
    }
    std::stable_sort(problems.begin(), problems.end(), detail::is_earlier);
    return problems;
}

}  // namespace godwitbarrow::settings
