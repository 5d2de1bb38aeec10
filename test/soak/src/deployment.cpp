#include "deployment.hpp"

#include <boost/json.hpp>

#include "godwitbarrow/standins/http_server.hpp"

namespace soak
{
namespace detail
{
namespace
{

namespace json = boost::json;
using godwitbarrow::standins::call_after;

/// How often replication and promotions advance.
constexpr std::chrono::milliseconds advance_interval{10};
constexpr std::size_t member_connections = 40;

const char* word_of(pooler::read_policy it)
{
    switch (it)
    {
        case pooler::read_policy::newest:
            return "primary";
        case pooler::read_policy::bounded_age:
            return "bounded";
        default:
            return "session";
    }
}

json::object describe(const std::string& name, const pooler::route& it)
{
    return {{"name", name},
            {"host", name},
            {"service", it.group.value},
            {"type", word_of(it.reads)},
            {"max_stale_ms", it.max_age.count()},
            {"timeout_ms", it.statement_timeout.count()},
            {"slo_ms", it.objective.count()},
            {"priority", static_cast<int>(it.importance)}};
}

pooler::route make_route(const core::group_id& group, pooler::read_policy reads,
                         std::chrono::milliseconds max_age,
                         core::rank importance)
{
    pooler::route it;
    it.group = group;
    it.reads = reads;
    it.max_age = max_age;
    it.statement_timeout = std::chrono::milliseconds(1000);
    it.objective = std::chrono::milliseconds(800);
    it.importance = importance;
    return it;
}

void add_routes(deployment& it, const core::group_id& group)
{
    using std::chrono::milliseconds;
    it.routes[group.value + "-newest"] =
        make_route(group, pooler::read_policy::newest, milliseconds(0),
                   core::rank::urgent);
    it.routes[group.value + "-bounded"] =
        make_route(group, pooler::read_policy::bounded_age, milliseconds(1500),
                   core::rank::interactive);
    it.routes[group.value + "-own"] =
        make_route(group, pooler::read_policy::own_writes, milliseconds(2500),
                   core::rank::deferred);
}

void report(deployment& it, const std::string& what)
{
    it.judge.violations.push_back(what);
}

void note_run(deployment& it, database& of, const model::run& what)
{
    model::statement_ran(it.judge, of.group, what);
    const auto m = of.members.find(what.server);
    if (m == of.members.end() || !m->second.leaving || what.transaction != 0)
        return;
    if (core::runtime_clock::now() - m->second.leaving_since > leaving_limit)
        ++it.late_statements;
}

bool take_order(deployment& it, const test::promotion_call& call)
{
    const auto [order, added] =
        it.orders.emplace(std::make_pair(call.group, call.token), call.holder);
    if (!added && order->second != call.holder)
        report(it, "one holder: " + order->second + " and " + call.holder +
                       " used token " + std::to_string(call.token) + " of " +
                       call.group);
    const auto n = it.databases.find({call.group});
    return n != it.databases.end() &&
           model::order_promotion(n->second->group, {call.server},
                                  core::runtime_clock::now());
}

void advance_all(deployment& it)
{
    for (auto& [name, n] : it.databases)
        if (model::advance(n->group, core::runtime_clock::now()))
        {
            model::primary_changed(it.judge, n->group);
            for (const auto& [server, m] : n->members)
                register_member(it, *n, server);
        }
    call_after(it.io.get_executor(), advance_interval,
               [&it] { advance_all(it); });
}

void serve(deployment& it, database& of, const core::server_id& server)
{
    auto& m = of.members[server];
    member_limits limits;
    limits.connections = member_connections;
    m.server = serve_member(it.io, of.group, server, limits,
                            [&it, &of](const model::run& what)
                            { note_run(it, of, what); });
    m.link = open_proxy(it.io, {"127.0.0.1", port_of(*m.server)});
    register_member(it, of, server);
}

}  // namespace
}  // namespace detail

void start_deployment(deployment& it, unsigned groups,
                      std::size_t synchronous_replicas)
{
    it.store.promoted = [&it](const test::promotion_call& call)
    {
        return detail::take_order(it, call);
    };
    for (unsigned n = 1; n <= groups; ++n)
    {
        const auto name = "g" + std::to_string(n);
        auto d = std::make_unique<database>();
        const std::vector<std::string> servers{name + "-a", name + "-b",
                                               name + "-c"};
        d->group = model::make_group(name, servers);
        d->group.synchronous_replicas = synchronous_replicas;
        auto& kept =
            *it.databases.emplace(d->group.name, std::move(d)).first->second;
        detail::add_routes(it, kept.group.name);
        for (const auto& server : servers)
            detail::serve(it, kept, {server});
    }
    configure(it);
    detail::advance_all(it);
}

void configure(deployment& it)
{
    boost::json::array routes;
    for (const auto& [name, route] : it.routes)
        routes.push_back(detail::describe(name, route));
    boost::json::array services;
    for (const auto& [name, n] : it.databases)
        services.push_back(boost::json::object{
            {"name", name.value},
            {"max_conns", detail::member_connections},
            {"sync_replicas", n->group.synchronous_replicas}});
    it.version += 1 + it.version % 3;
    const boost::json::object body{
        {"version", it.version},
        {"routes", std::move(routes)},
        {"services", std::move(services)},
        {"limits", boost::json::object{{"tx_idle_ms", 2000}}}};
    it.store.put("op", "config", boost::json::serialize(body));
}

void register_member(deployment& it, const database& of,
                     const core::server_id& server)
{
    const auto& m = of.members.at(server);
    if (!of.group.members.at(server).running)
        return;
    const bool leads = model::leads(of.group, server);
    const bool near = server.value.back() != 'c';
    const boost::json::object body{
        {"service", of.group.name.value},
        {"addr", "127.0.0.1:" + std::to_string(port_of(*m.link))},
        {"zone", near ? "north" : "south"},
        {"version", "v1"},
        {"slots", 2},
        {"state", m.leaving ? "draining" : "ready"},
        {"cold_left_ms", 0},
        {"db_role", leads ? "primary" : "replica"},
        {"seq", it.store.version},
        {"born", m.start}};
    it.store.put("servers", server.value, boost::json::serialize(body));
}

void register_all(deployment& it)
{
    for (auto& [name, n] : it.databases)
        for (const auto& [server, m] : n->members)
            register_member(it, *n, server);
}

core::server_id add_member(deployment& it, database& to)
{
    core::server_id server{to.group.name.value + "-n" +
                           std::to_string(++it.last_member)};
    to.group.members[server].log_term = 0;
    detail::serve(it, to, server);
    return server;
}

void announce_leaving(deployment& it, database& of,
                      const core::server_id& server)
{
    auto& m = of.members.at(server);
    m.leaving = true;
    m.leaving_since = core::runtime_clock::now();
    register_member(it, of, server);
}

void remove_member(deployment& it, database& of, const core::server_id& server)
{
    if (of.group.primary == server)
        return;
    auto& m = of.members.at(server);
    close_server(*m.server);
    close_proxy(*m.link);
    it.store.remove("servers", server.value);
    of.members.erase(server);
    of.group.members.erase(server);
}

void stop_deployment(deployment& it)
{
    for (auto& [name, n] : it.databases)
        for (auto& [server, m] : n->members)
        {
            close_server(*m.server);
            close_proxy(*m.link);
        }
    it.store.waiting.clear();
    godwitbarrow::standins::stop(it.store.server);
}

}  // namespace soak
