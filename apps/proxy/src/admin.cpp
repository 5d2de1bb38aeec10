#include "admin.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "gauges.hpp"
#include "roles.hpp"

namespace godwitbarrow::proxy
{
namespace detail
{
namespace
{

namespace json = boost::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Groups in one answer; keeps it far below the limit of an admin answer.
constexpr std::size_t most_groups = 500;

gateway::admin_response json_response(const json::value& body)
{
    return {200, "application/json", json::serialize(body)};
}

gateway::admin_response health(app& it)
{
    const bool ready = current_settings(it) && !it.draining.load();
    return {ready ? 200U : 503U, "text/plain", ready ? "ok\n" : "draining\n"};
}

json::value age_of(const std::optional<core::time_point>& fresh_as_of)
{
    if (!fresh_as_of)
        return nullptr;
    const auto age = core::runtime_clock::now() - *fresh_as_of;
    return duration_cast<milliseconds>(age).count();
}

json::object describe_member(const core::server_id& id,
                             const serving::member_state& member)
{
    json::object n{{"server", id.value},
                   {"leaving", member.leaving},
                   {"reachable", member.reachable},
                   {"age_ms", age_of(member.fresh_as_of)}};
    if (!member.status)
        return n;
    n["term"] = member.status->term;
    n["log_term"] = member.status->log_term;
    n["position"] = member.status->position;
    n["role"] = member.status->role == core::member_role::primary ? "primary"
                                                                  : "replica";
    return n;
}

json::object describe_group(group_entry& group)
{
    std::lock_guard lock(group.mutex);
    const auto& view = group.serving.view;
    json::array members;
    for (const auto& [id, member] : group.serving.members)
        members.push_back(describe_member(id, member));
    return {{"group", group.id.value},
            {"term", view.term},
            {"primary", view.primary ? view.primary->value : ""},
            {"members", std::move(members)}};
}

template <class Describe>
json::object list_groups(app& it, Describe&& describe)
{
    json::array list;
    const auto all = all_groups(it);
    for (const auto& n : all)
    {
        if (list.size() == most_groups)
            break;
        list.push_back(describe(*n));
    }
    return {{"total", all.size()}, {"groups", std::move(list)}};
}

json::object list_owners(app& it)
{
    const auto settings = current_settings(it);
    return list_groups(
        it,
        [&](group_entry& group)
        {
            json::object servers;
            const auto known = settings->groups.find(group.id);
            if (known == settings->groups.end())
                return json::object{{"group", group.id.value}};
            for (const auto& n : known->second.members)
            {
                const auto owner = owner_of_server(it, n);
                servers[n.value] = owner ? owner->value : "";
            }
            const auto coordinator = coordinator_of_group(it, group.id);
            return json::object{
                {"group", group.id.value},
                {"coordinator", coordinator ? coordinator->value : ""},
                {"owners", std::move(servers)}};
        });
}

json::object describe_queue(const serving::server_state& server)
{
    json::object waiting;
    json::object running;
    for (const auto n : core::all_ranks)
    {
        const std::string name(core::to_string(n));
        waiting[name] = server.queue.waiting[core::index_of(n)].size();
        running[name] = server.queue.running[core::index_of(n)];
    }
    return {{"owned", server.owned},
            {"slots", server.queue.slots},
            {"connections", server.pool.connections.size()},
            {"waiting", std::move(waiting)},
            {"running", std::move(running)}};
}

json::object describe_queues(group_entry& group)
{
    std::lock_guard lock(group.mutex);
    json::object servers;
    for (const auto& [id, server] : group.serving.servers)
        servers[id.value] = describe_queue(server);
    return {{"group", group.id.value}, {"servers", std::move(servers)}};
}

json::object describe_settings(app& it)
{
    std::lock_guard lock(it.settings.mutex);
    return {{"generation", it.settings.generation},
            {"digest", it.settings.publish.effective.digest},
            {"last_rejection", it.settings.last_rejection}};
}

json::object describe_drain(app& it)
{
    return {{"draining", it.draining.load()},
            {"in_flight", gateway::requests_in_flight(it.gateway)},
            {"connections", gateway::open_connections(it.gateway)}};
}

json::object list_hosts(app& it)
{
    std::lock_guard lock(it.hosts.mutex);
    json::array usable;
    for (const auto& n : it.hosts.usable)
        usable.push_back(json::string(n.host.value));
    json::array leaving;
    for (const auto& n : it.hosts.leaving_servers)
        leaving.push_back(json::string(n.value));
    return {{"version", it.hosts.membership.hosts.version},
            {"usable", std::move(usable)},
            {"leaving_servers", std::move(leaving)}};
}

}  // namespace
}  // namespace detail

std::optional<gateway::admin_response> answer_admin(app& it,
                                                    std::string_view path)
{
    if (path == "/healthz")
        return detail::health(it);
    if (path == "/metrics")
    {
        update_gauges(it);
        return gateway::admin_response{200, "text/plain; version=0.0.4",
                                       telemetry::expose(*it.metrics)};
    }
    if (path == "/v1/admin/groups")
        return detail::json_response(
            detail::list_groups(it, detail::describe_group));
    if (path == "/v1/admin/owners")
        return detail::json_response(detail::list_owners(it));
    if (path == "/v1/admin/queues")
        return detail::json_response(
            detail::list_groups(it, detail::describe_queues));
    if (path == "/v1/admin/settings")
        return detail::json_response(detail::describe_settings(it));
    if (path == "/v1/admin/drain")
        return detail::json_response(detail::describe_drain(it));
    if (path == "/v1/admin/hosts")
        return detail::json_response(detail::list_hosts(it));
    return std::nullopt;
}

}  // namespace godwitbarrow::proxy
