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

void fill_platform(settings& to, section_reader& in)
{
    to.platform.address = read_endpoint(in, "address");
    to.platform.timeout = read_duration(in, "timeout");
}

void fill_data_centre(settings& to, section_reader& in)
{
    auto& it = to.data_centres[core::data_centre_id{in.from.name}];
    it.region.value = read_name(in, "region");
}

void fill_latency(settings& to, section_reader& in)
{
    auto& it = to.data_centres[core::data_centre_id{in.from.name}];
    for (const auto& [key, value] : in.from.entries)
        it.latency[core::data_centre_id{key}] = read_short_duration(in, key);
}

void fill_host(settings& to, section_reader& in)
{
    auto& it = to.hosts[core::host_id{in.from.name}];
    it.address = read_ip_address(in, "address");
    it.caller_port = read_port(in, "caller_port");
    it.peer_port = read_port(in, "peer_port");
    it.admin_port = read_port(in, "admin_port");
    it.admin_address = read_ip_address(in, "admin_address");
    it.data_centre.value = read_name(in, "data_centre");
}

void fill_group(settings& to, section_reader& in)
{
    auto& it = to.groups[core::group_id{in.from.name}];
    it.description = read_text(in, "description");
}

void fill_backend_server(settings& to, section_reader& in)
{
    auto& it = to.backend_servers[core::server_id{in.from.name}];
    it.group.value = read_name(in, "group");
    it.address = read_endpoint(in, "address");
    it.data_centre.value = read_name(in, "data_centre");
    it.slots = read_count(in, "slots");
    it.connections = read_count(in, "connections");
}

void fill_kind(settings& to, section_reader& in)
{
    auto& it = to.kinds[in.from.name];
    it.importance = static_cast<core::rank>(read_choice(in, "rank"));
    it.worth = read_number(in, "worth");
}

void fill_rank(settings& to, section_reader& in)
{
    const auto which = core::parse_rank(in.from.name);
    if (!which)
        return;  // reported by check_names
    auto& it = to.ranks[core::index_of(*which)];
    it.minimum_share = read_percent(in, "minimum_share");
    it.reserved_slots = read_count(in, "reserved_slots");
    it.objective = read_percent(in, "objective");
    it.latency_objective = read_duration(in, "latency_objective");
    it.deadline = read_duration(in, "deadline");
}

void fill_limits(settings& to, section_reader& in)
{
    auto& it = to.limits;
    it.body = read_size(in, "body");
    it.header = read_size(in, "header");
    it.open_connections = read_count(in, "open_connections");
    it.request_read_time = read_duration(in, "request_read_time");
    it.drain_limit = read_duration(in, "drain_limit");
    it.transaction_idle_limit = read_duration(in, "transaction_idle_limit");
    it.idle_age = read_duration(in, "idle_age");
    it.probe_after = read_duration(in, "probe_after");
    it.retry_ratio = read_percent(in, "retry_ratio");
    it.queue = static_cast<queue_policy>(read_choice(in, "queue_policy"));
    it.reads = static_cast<read_policy>(read_choice(in, "read_policy"));
}

void fill_team(settings& to, section_reader& in)
{
    auto& it = to.teams[in.from.name];
    it.kinds = read_names(in, "kinds");
    it.limit = read_count(in, "limit");
}

struct section_filler
{
    std::string_view type;
    void (*fill)(settings& to, section_reader& in);
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

void fill_section(settings& to, section_reader& in)
{
    for (const auto& it : fillers)
        if (it.type == in.from.type)
            it.fill(to, in);
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
    settings it;
    for (const auto& [header, from] : sections)
    {
        detail::section_reader in{from, problems};
        detail::fill_section(it, in);
    }
    detail::collect_members(it);
    detail::check_consistency(it, sections, problems);
    if (problems.empty())
    {
        detail::mirror_latency(it);
        return it;
    }
    std::stable_sort(problems.begin(), problems.end(), detail::is_earlier);
    return problems;
}

}  // namespace godwitbarrow::settings
