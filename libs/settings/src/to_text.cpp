#include <string>

#include "godwitbarrow/settings/settings.hpp"
#include "godwitbarrow/settings/units.hpp"

namespace godwitbarrow::settings
{
namespace detail
{
namespace
{

void write_header(std::string& out, const std::string& type,
                  const std::string& name)
{
    out += (out.empty() ? "[" : "\n[") + type +
           (name.empty() ? "" : "." + name) + "]\n";
}

void write_key(std::string& out, const std::string& key,
               const std::string& value)
{
    out += key + " = " + value + "\n";
}

std::string percent(double fraction)
{
    return format_number(fraction * 100) + "%";
}

void write_platform(std::string& out, const platform_settings& value)
{
    write_header(out, "platform", "");
    write_key(out, "address", core::to_string(value.address));
    write_key(out, "timeout", format_duration(value.timeout));
}

void write_data_centre(std::string& out, const core::data_centre_id& name,
                       const data_centre& value)
{
    write_header(out, "data_centre", name.value);
    write_key(out, "region", value.region.value);
    if (value.latency.empty())
        return;
    write_header(out, "latency", name.value);
    for (const auto& [to, time] : value.latency)
        write_key(out, to.value, format_short_duration(time));
}

void write_host(std::string& out, const core::host_id& name, const host& value)
{
    write_header(out, "host", name.value);
    write_key(out, "address", value.address);
    write_key(out, "caller_port", std::to_string(value.caller_port));
    write_key(out, "peer_port", std::to_string(value.peer_port));
    write_key(out, "admin_port", std::to_string(value.admin_port));
    write_key(out, "admin_address", value.admin_address);
    write_key(out, "data_centre", value.data_centre.value);
}

void write_group(std::string& out, const core::group_id& name,
                 const group& value)
{
    write_header(out, "group", name.value);
    if (!value.description.empty())
        write_key(out, "description", value.description);
}

void write_server(std::string& out, const core::server_id& name,
                  const backend_server& value)
{
    write_header(out, "backend_server", name.value);
    write_key(out, "group", value.group.value);
    write_key(out, "address", core::to_string(value.address));
    write_key(out, "data_centre", value.data_centre.value);
    write_key(out, "slots", std::to_string(value.slots));
    write_key(out, "connections", std::to_string(value.connections));
}

void write_kind(std::string& out, const std::string& name, const kind& value)
{
    write_header(out, "kind", name);
    write_key(out, "rank", std::string(core::to_string(value.importance)));
    write_key(out, "worth", format_number(value.worth));
}

void write_rank(std::string& out, core::rank name, const rank_settings& value)
{
    write_header(out, "rank", std::string(core::to_string(name)));
    write_key(out, "minimum_share", percent(value.minimum_share));
    write_key(out, "reserved_slots", std::to_string(value.reserved_slots));
    write_key(out, "objective", percent(value.objective));
    write_key(out, "latency_objective",
              format_duration(value.latency_objective));
    write_key(out, "deadline", format_duration(value.deadline));
}

void write_limits(std::string& out, const limit_settings& value)
{
    const bool ranked = value.queue == queue_policy::ranked;
    const bool replicas = value.reads == read_policy::replicas;
    write_header(out, "limits", "");
    write_key(out, "body", format_size(value.body));
    write_key(out, "header", format_size(value.header));
    write_key(out, "open_connections", std::to_string(value.open_connections));
    write_key(out, "request_read_time",
              format_duration(value.request_read_time));
    write_key(out, "drain_limit", format_duration(value.drain_limit));
    write_key(out, "transaction_idle_limit",
              format_duration(value.transaction_idle_limit));
    write_key(out, "idle_age", format_duration(value.idle_age));
    write_key(out, "probe_after", format_duration(value.probe_after));
    write_key(out, "retry_ratio", percent(value.retry_ratio));
    write_key(out, "queue_policy",
              ranked ? "ranked" : "first_come_first_served");
    write_key(out, "read_policy", replicas ? "replicas" : "primary_only");
}

void write_team(std::string& out, const std::string& name, const team& value)
{
    std::string kinds;
    for (const auto& kind : value.kinds)
        kinds += (kinds.empty() ? "" : ", ") + kind;
    write_header(out, "team", name);
    write_key(out, "kinds", kinds);
    write_key(out, "limit", std::to_string(value.limit));
}

}  // namespace
}  // namespace detail

std::string to_text(const settings& values)
{
    std::string out;
    detail::write_platform(out, values.platform);
    for (const auto& [name, value] : values.data_centres)
        detail::write_data_centre(out, name, value);
    for (const auto& [name, value] : values.hosts)
        detail::write_host(out, name, value);
    for (const auto& [name, value] : values.groups)
        detail::write_group(out, name, value);
    for (const auto& [name, value] : values.backend_servers)
        detail::write_server(out, name, value);
    for (const auto& [name, value] : values.kinds)
        detail::write_kind(out, name, value);
    for (const auto name : core::all_ranks)
        detail::write_rank(out, name, values.ranks[core::index_of(name)]);
    detail::write_limits(out, values.limits);
    for (const auto& [name, value] : values.teams)
        detail::write_team(out, name, value);
    return out;
}

}  // namespace godwitbarrow::settings
