#include <string>

#include "godwitbarrow/settings/settings.hpp"
#include "godwitbarrow/settings/units.hpp"

namespace godwitbarrow::settings
{
namespace detail
{
namespace
{

void header(std::string& out, const std::string& type, const std::string& name)
{
    out += (out.empty() ? "[" : "\n[") + type +
           (name.empty() ? "" : "." + name) + "]\n";
}

void line(std::string& out, const std::string& key, const std::string& value)
{
    out += key + " = " + value + "\n";
}

std::string percent(double fraction)
{
    return format_number(fraction * 100) + "%";
}

void write_platform(std::string& out, const platform_settings& it)
{
    header(out, "platform", "");
    line(out, "address", core::to_string(it.address));
    line(out, "timeout", format_duration(it.timeout));
}

void write_data_centre(std::string& out, const core::data_centre_id& name,
                       const data_centre& it)
{
    header(out, "data_centre", name.value);
    line(out, "region", it.region.value);
    if (it.latency.empty())
        return;
    header(out, "latency", name.value);
    for (const auto& [to, time] : it.latency)
        line(out, to.value, format_short_duration(time));
}

void write_host(std::string& out, const core::host_id& name, const host& it)
{
    header(out, "host", name.value);
    line(out, "address", it.address);
    line(out, "caller_port", std::to_string(it.caller_port));
    line(out, "peer_port", std::to_string(it.peer_port));
    line(out, "admin_port", std::to_string(it.admin_port));
    line(out, "admin_address", it.admin_address);
    line(out, "data_centre", it.data_centre.value);
}

void write_group(std::string& out, const core::group_id& name, const group& it)
{
    header(out, "group", name.value);
    if (!it.description.empty())
        line(out, "description", it.description);
}

void write_server(std::string& out, const core::server_id& name,
                  const backend_server& it)
{
    header(out, "backend_server", name.value);
    line(out, "group", it.group.value);
    line(out, "address", core::to_string(it.address));
    line(out, "data_centre", it.data_centre.value);
    line(out, "slots", std::to_string(it.slots));
    line(out, "connections", std::to_string(it.connections));
}

void write_kind(std::string& out, const std::string& name, const kind& it)
{
    header(out, "kind", name);
    line(out, "rank", std::string(core::to_string(it.importance)));
    line(out, "worth", format_number(it.worth));
}

void write_rank(std::string& out, core::rank name, const rank_settings& it)
{
    header(out, "rank", std::string(core::to_string(name)));
    line(out, "minimum_share", percent(it.minimum_share));
    line(out, "reserved_slots", std::to_string(it.reserved_slots));
    line(out, "objective", percent(it.objective));
    line(out, "latency_objective", format_duration(it.latency_objective));
    line(out, "deadline", format_duration(it.deadline));
}

void write_limits(std::string& out, const limit_settings& it)
{
    const bool ranked = it.queue == queue_policy::ranked;
    const bool replicas = it.reads == read_policy::replicas;
    header(out, "limits", "");
    line(out, "body", format_size(it.body));
    line(out, "header", format_size(it.header));
    line(out, "open_connections", std::to_string(it.open_connections));
    line(out, "request_read_time", format_duration(it.request_read_time));
    line(out, "drain_limit", format_duration(it.drain_limit));
    line(out, "transaction_idle_limit",
         format_duration(it.transaction_idle_limit));
    line(out, "idle_age", format_duration(it.idle_age));
    line(out, "probe_after", format_duration(it.probe_after));
    line(out, "retry_ratio", percent(it.retry_ratio));
    line(out, "queue_policy", ranked ? "ranked" : "first_come_first_served");
    line(out, "read_policy", replicas ? "replicas" : "primary_only");
}

void write_team(std::string& out, const std::string& name, const team& it)
{
    std::string kinds;
    for (const auto& kind : it.kinds)
        kinds += (kinds.empty() ? "" : ", ") + kind;
    header(out, "team", name);
    line(out, "kinds", kinds);
    line(out, "limit", std::to_string(it.limit));
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
