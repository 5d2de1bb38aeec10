#include "cluster.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <filesystem>
#include <fstream>

#include "http.hpp"
#include "wait.hpp"

namespace scenario
{
namespace detail
{
namespace
{

namespace fs = std::filesystem;
namespace json = boost::json;

constexpr std::chrono::seconds start_limit{20};
constexpr std::chrono::seconds call_limit{2};

std::string replace_all(std::string text, const std::string& from,
                        const std::string& to)
{
    for (auto n = text.find(from); n != std::string::npos;
         n = text.find(from, n + to.size()))
        text.replace(n, from.size(), to);
    return text;
}

std::string log_path(const cluster& it, const std::string& name)
{
    return it.options.work_folder + "/" + name + ".log";
}

std::string program(const cluster& it, const std::string& path)
{
    return it.options.programs + "/" + path;
}

std::string flag(const std::string& name, const std::string& value)
{
    return "--" + name + "=" + value;
}

core::error not_ready(const std::string& what, const std::string& log)
{
    return {core::error_kind::deadline_exceeded,
            what + " did not become ready; see " + log};
}

core::result<std::monostate> keep(process& slot, core::result<process> started)
{
    if (!ok(started))
        return std::get<core::error>(started);
    slot = std::get<process>(started);
    return std::monostate();
}

std::string peers_flag(const cluster& it, const core::server_id& server)
{
    const auto& group = it.values.backend_servers.at(server).group;
    std::string peers;
    for (const auto& n : it.values.groups.at(group).members)
        if (n != server)
            peers += (peers.empty() ? "" : ",") + n.value + "=" +
                     core::to_string(it.values.backend_servers.at(n).address);
    return flag("peers", peers);
}

// The first member of each group starts as the primary of term 1, unless it
// is restarted: then another member may lead.
std::string role_flag(const cluster& it, const core::server_id& server)
{
    const auto& group = it.values.backend_servers.at(server).group;
    const bool first = it.values.groups.at(group).members.front() == server;
    const bool restarted = it.servers.count(server) > 0;
    return flag("role", first && !restarted ? "primary" : "replica");
}

bool knows_all_primaries(const cluster& it, const core::host_id& host)
{
    const auto groups = call_json(admin_endpoint(it, host), "GET",
                                  "/v1/admin/groups", "", call_limit);
    if (!ok(groups))
        return false;
    const auto* list = std::get<json::object>(groups).if_contains("groups");
    if (list == nullptr || !list->is_array())
        return false;
    std::size_t known = 0;
    for (const auto& n : list->as_array())
        known += n.at("primary").as_string().empty() ? 0 : 1;
    return known == it.values.groups.size();
}

}  // namespace
}  // namespace detail

core::result<cluster> make_cluster(const cluster_options& options)
{
    cluster it;
    it.options = options;
    const auto folder = published_folder(it);
    detail::fs::create_directories(folder);
    auto files = settings::read_folder(options.settings_folder);
    if (!ok(files))
        return std::get<core::error>(files);
    for (auto& [name, content] : std::get<settings::file_set>(files))
    {
        content = detail::replace_all(content, "127.0.0.1", options.address);
        std::ofstream(detail::fs::path(folder) / name) << content;
    }
    auto parsed = settings::parse_settings(std::get<settings::file_set>(files));
    if (auto* problems = std::get_if<std::vector<settings::problem>>(&parsed))
        return core::error{core::error_kind::invalid_settings,
                           settings::to_string(problems->front())};
    it.values = std::get<settings::settings>(std::move(parsed));
    return it;
}

core::result<std::monostate> start_platform(cluster& it)
{
    const auto& at = it.values.platform.address;
    auto done = detail::keep(
        it.platform,
        start_process(
            {detail::program(it, "platform_standin"),
             detail::flag("address", at.address),
             detail::flag("port", std::to_string(at.port)),
             detail::flag("host_lag_ms",
                          std::to_string(it.options.host_list_lag.count()))},
            detail::log_path(it, "platform")));
    if (!ok(done))
        return done;
    const bool up = wait_until(
        detail::start_limit,
        [&] { return ok(call(at, "GET", "/hosts", "", detail::call_limit)); });
    if (!up)
        return detail::not_ready("the platform", it.platform.log_path);
    return std::monostate();
}

core::result<std::monostate> start_server(cluster& it,
                                          const core::server_id& server)
{
    const auto& n = it.values.backend_servers.at(server);
    const std::vector<std::string> command{
        detail::program(it, "database_standin"),
        detail::flag("name", server.value),
        detail::flag("address", n.address.address),
        detail::flag("port", std::to_string(n.address.port)),
        detail::peers_flag(it, server),
        detail::role_flag(it, server),
        detail::flag("slots", std::to_string(n.slots)),
        detail::flag("connections", std::to_string(n.connections)),
        detail::flag("connect_cost_ms", "10"),
        detail::flag("lag_ms", std::to_string(it.options.lag.count())),
        detail::flag("service_ms",
                     std::to_string(it.options.service_time.count()))};
    auto done = detail::keep(
        it.servers[server],
        start_process(command, detail::log_path(it, server.value)));
    if (!ok(done))
        return done;
    return set_host_state(it, server.value, "backend_server", "live");
}

core::result<std::monostate> start_host(cluster& it, const core::host_id& host)
{
    std::vector<std::string> command{
        detail::program(it, "godwitbarrow"), detail::flag("host", host.value),
        detail::flag("platform", core::to_string(it.values.platform.address)),
        detail::flag("workers", "2")};
    if (it.values.hosts.begin()->first == host)
        command.push_back(detail::flag("folder", published_folder(it)));
    if (std::next(it.values.hosts.begin())->first == host &&
        detail::fs::exists(second_folder(it)))
        command.push_back(detail::flag("folder", second_folder(it)));
    std::string seeds;
    for (const auto& n : it.values.hosts)
        if (n.first != host)
            seeds += (seeds.empty() ? "" : ",") +
                     core::to_string(
                         core::endpoint{n.second.address, n.second.peer_port});
    command.push_back(detail::flag("seeds", seeds));
    auto done =
        detail::keep(it.hosts[host],
                     start_process(command, detail::log_path(it, host.value)));
    if (!ok(done))
        return done;
    return set_host_state(it, host.value, "host", "live");
}

core::result<std::monostate> start_all(cluster& it)
{
    auto done = start_platform(it);
    for (const auto& n : it.values.backend_servers)
        if (ok(done))
            done = start_server(it, n.first);
    for (const auto& n : it.values.hosts)
        if (ok(done))
            done = start_host(it, n.first);
    for (const auto& n : it.values.hosts)
        if (ok(done))
            done = wait_until_ready(it, n.first);
    return done;
}

core::result<std::monostate> wait_until_ready(const cluster& it,
                                              const core::host_id& host)
{
    if (wait_until(detail::start_limit,
                   [&] { return detail::knows_all_primaries(it, host); }))
        return std::monostate();
    return detail::not_ready(host.value, it.hosts.at(host).log_path);
}

std::string second_folder(const cluster& it)
{
    return it.options.work_folder + "/second";
}

std::string published_folder(const cluster& it)
{
    return it.options.work_folder + "/settings";
}

core::endpoint caller_endpoint(const cluster& it, const core::host_id& host)
{
    const auto& n = it.values.hosts.at(host);
    return {n.address, n.caller_port};
}

core::endpoint admin_endpoint(const cluster& it, const core::host_id& host)
{
    const auto& n = it.values.hosts.at(host);
    return {n.admin_address, n.admin_port};
}

core::result<std::monostate> set_host_state(cluster& it,
                                            const std::string& name,
                                            const std::string& kind,
                                            const std::string& state)
{
    it.listed[name] = {kind, state};
    boost::json::array entries;
    for (const auto& [entry, n] : it.listed)
        if (n.second != "absent")
            entries.push_back(boost::json::object{
                {"name", entry}, {"kind", n.first}, {"state", n.second}});
    const boost::json::object body{{"hosts", std::move(entries)}};
    auto done = call(it.values.platform.address, "POST", "/hosts",
                     boost::json::serialize(body), detail::call_limit);
    if (!ok(done))
        return std::get<core::error>(done);
    if (std::get<http_response>(done).status != 200)
        return core::error{core::error_kind::protocol_error,
                           "the platform refused the host entry: " +
                               std::get<http_response>(done).body};
    return std::monostate();
}

core::result<std::monostate> set_faults(const core::endpoint& to,
                                        const std::string& faults)
{
    auto done = call(to, "POST", "/faults", faults, detail::call_limit);
    if (!ok(done))
        return std::get<core::error>(done);
    if (std::get<http_response>(done).status != 200)
        return core::error{core::error_kind::protocol_error,
                           "the stand-in refused the faults: " +
                               std::get<http_response>(done).body};
    return std::monostate();
}

void end_all(cluster& it)
{
    for (auto& n : it.hosts)
        end_process(n.second);
    for (auto& n : it.servers)
        end_process(n.second);
    end_process(it.platform);
}

}  // namespace scenario
