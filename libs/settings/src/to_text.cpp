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

void write_platform(std::string& out, const platform_settings& it)
{
    write_header(out, "platform", "");
    write_key(out, "address", core::to_string(it.address));
    write_key(out, "timeout", format_duration(it.timeout));
}

void write_data_centre(std::string& out, const core::data_centre_id& name,
                       const data_centre& it)
{
    write_header(out, "data_centre", name.value);
    write_key(out, "region", it.region.value);
    if (it.latency.empty())
        return;
    write_header(out, "latency", name.value);
    for (const auto& [to, time] : it.latency)
        write_key(out, to.value, format_short_duration(time));
}

void write_host(std::string& out, const core::host_id& name, const host& it)
{
    write_header(out, "host", name.value);
    write_key(out, "address", it.address);
    write_key(out, "caller_port", std::to_string(it.caller_port));
    write_key(out, "peer_port", std::to_string(it.peer_port));
    write_key(out, "admin_port", std::to_string(it.admin_port));
    write_key(out, "admin_address", it.admin_address);
    write_key(out, "data_centre", it.data_centre.value);
}

void write_group(std::string& out, const core::group_id& name, const group& it)
{
    write_header(out, "group", name.value);
    if (!it.description.empty())
        write_key(out, "description", it.description);
}

void write_server(std::string& out, const core::server_id& name,
                  const backend_server& it)
{
    write_header(out, "backend_server", name.value);
    write_key(out, "group", it.group.value);
    write_key(out, "address", core::to_string(it.address));
    write_key(out, "data_centre", it.data_centre.value);
    write_key(out, "slots", std::to_string(it.slots));
    write_key(out, "connections", std::to_string(it.connections));
}

void write_kind(std::string& out, const std::string& name, const kind& it)
{
    write_header(out, "kind", name);
    write_key(out, "rank", std::string(core::to_string(it.importance)));
    write_key(out, "worth", format_number(it.worth));
}

void write_rank(std::string& out, core::rank name, const rank_settings& it)
{
    write_header(out, "rank", std::string(core::to_string(name)));
    write_key(out, "minimum_share", percent(it.minimum_share));
    write_key(out, "reserved_slots", std::to_string(it.reserved_slots));
    write_key(out, "objective", percent(it.objective));
    write_key(out, "latency_objective", format_duration(it.latency_objective));
    write_key(out, "deadline", format_duration(it.deadline));
}

void write_limits(std::string& out, const limit_settings& it)
{
    const bool ranked = it.queue == queue_policy::ranked;
    const bool replicas = it.reads == read_policy::replicas;
    write_header(out, "limits", "");
    write_key(out, "body", format_size(it.body));
    write_key(out, "header", format_size(it.header));
    write_key(out, "open_connections", std::to_string(it.open_connections));
    write_key(out, "request_read_time", format_duration(it.request_read_time));
    write_key(out, "drain_limit", format_duration(it.drain_limit));
    write_key(out, "transaction_idle_limit",
              format_duration(it.transaction_idle_limit));
    write_key(out, "idle_age", format_duration(it.idle_age));
    write_key(out, "probe_after", format_duration(it.probe_after));
    write_key(out, "retry_ratio", percent(it.retry_ratio));
    write_key(out, "queue_policy",
              ranked ? "ranked" : "first_come_first_served");
    write_key(out, "read_policy", replicas ? "replicas" : "primary_only");
}

void write_team(std::string& out, const std::string& name, const team& it)
{
    std::string kinds;
    for (const auto& kind : it.kinds)
        kinds += (kinds.empty() ? "" : ", ") + kind;
    write_header(out, "team", name);
    write_key(out, "kinds", kinds);
    write_key(out, "limit", std::to_string(it.limit));
}

}  // namespace
}  // namespace detail

std::string to_text(const settings& it)
{
    std::string out;
    detail::write_platform(out, it.platform);
    for (const auto& [name, value] : it.data_centres)
        detail::write_data_centre(out, name, value);
    for (const auto& [name, value] : it.hosts)
        detail::write_host(out, name, value);
    for (const auto& [name, value] : it.groups)
        detail::write_group(out, name, value);
    for (const auto& [name, value] : it.backend_servers)
        detail::write_server(out, name, value);
    for (const auto& [name, value] : it.kinds)
        detail::write_kind(out, name, value);
    for (const auto name : core::all_ranks)
        detail::write_rank(out, name, it.ranks[core::index_of(name)]);
    detail::write_limits(out, it.limits);
    for (const auto& [name, value] : it.teams)
        detail::write_team(out, name, value);
    return out;
}

}  // namespace godwitbarrow::settings
