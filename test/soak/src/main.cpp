#include <gflags/gflags.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>

#include "godwitbarrow/standins/http_server.hpp"
#include "load.hpp"
#include "trouble.hpp"

DEFINE_string(program, "", "path of the program godwitbarrow");
DEFINE_uint32(seed, 1, "of callers and faults");
DEFINE_uint32(seconds, 30, "time with faults");
DEFINE_uint32(hosts, 0, "processes of the proxy; 0: by the seed, 3 to 8");
DEFINE_uint32(groups, 2, "groups of three members");
DEFINE_uint32(callers, 6, "callers of each database");
DEFINE_bool(fencing, true,
            "a replaced primary stops at once, not when told to step down");
DEFINE_bool(keep, false, "keep the folder with the logs");

namespace
{

namespace fs = std::filesystem;
namespace core = godwitbarrow::core;
using namespace std::chrono_literals;

/// Service is back this long after all faults are over.
constexpr std::chrono::seconds recovery_limit{12};
/// A database counts as served again if this share of its statements is.
constexpr double served_share = 0.9;
constexpr std::uint64_t least_statements = 5;

struct soak_run
{
    soak_run()
        : around(io),
          hosts(io),
          callers(around, hosts, FLAGS_seed),
          faults(around, hosts, FLAGS_seed + 1)
    {
    }

    boost::asio::io_context io;
    soak::deployment around;
    soak::fleet hosts;
    soak::load callers;
    soak::troublemaker faults;
    std::vector<std::string> findings;

    void pass(core::duration time)
    {
        io.run_for(time);
    }
};

std::string work_folder()
{
    const auto it = fs::temp_directory_path() /
                    ("godwitbarrow-soak-" + std::to_string(getpid()));
    fs::create_directories(it);
    return it.string();
}

/// Databases of which too few statements were served since the last reset.
std::vector<std::string> unserved(soak_run& it)
{
    std::vector<std::string> out;
    for (const auto& [name, route] : it.around.routes)
    {
        const auto n = it.callers.served[name];
        if (n.asked < least_statements ||
            static_cast<double>(n.served) <
                served_share * static_cast<double>(n.asked))
            out.push_back(name + " " + std::to_string(n.served) + " of " +
                          std::to_string(n.asked));
    }
    return out;
}

/// Waits until all databases are served; returns how long that took.
std::optional<std::chrono::milliseconds> await_service(soak_run& it)
{
    const auto start = core::runtime_clock::now();
    std::vector<std::string> missing;
    while (core::runtime_clock::now() - start < recovery_limit)
    {
        it.callers.served.clear();
        it.pass(1s);
        missing = unserved(it);
        if (missing.empty())
            return std::chrono::duration_cast<std::chrono::milliseconds>(
                core::runtime_clock::now() - start);
    }
    for (const auto& n : missing)
        it.findings.push_back("recovery: not served: " + n);
    return std::nullopt;
}

/// On a calm deployment: a graceful end breaks off no statement.
void check_graceful_end(soak_run& it)
{
    const auto before = it.callers.cut;
    soak::send_signal(it.hosts, 0, SIGTERM);
    it.pass(4500ms);
    if (it.callers.cut != before)
        it.findings.push_back(
            "graceful end: " + std::to_string(it.callers.cut - before) +
            " statements were broken off");
}

/// On a calm deployment: a leaving primary is replaced and gets no more work.
void check_leaving(soak_run& it)
{
    auto& d = *it.around.databases.begin()->second;
    const auto leaving = d.group.primary;
    soak::announce_leaving(it.around, d, leaving);
    const auto before = it.around.late_statements;
    it.pass(soak::leaving_limit + 1s);
    if (d.group.primary == leaving)
        it.findings.push_back("leaving: the primary was not replaced");
    if (it.around.late_statements != before)
        it.findings.push_back("leaving: statements reached the member late");
}

bool answers_startup(soak_run& it, std::size_t host,
                     const std::string& database, const std::string& expected)
{
    std::string first;
    soak::stream::handlers on;
    on.received = [&first](std::string_view line)
    {
        if (first.empty())
            first = line;
    };
    on.closed = [](const std::string&) {
    };
    soak::stream::connection_ptr link;
    link = soak::stream::connect(
        it.io.get_executor(), it.hosts.hosts[host].callers, 1s,
        [&link, &database]
        { soak::stream::send(link, "STARTUP " + database + " soak\r\n"); },
        std::move(on));
    for (int n = 0; n < 100 && first.empty(); ++n)
        it.pass(20ms);
    soak::stream::close(link);
    it.pass(20ms);
    return first.rfind(expected, 0) == 0;
}

/// On a calm deployment: changes of routes are in force on each host.
void check_configuration(soak_run& it)
{
    auto& routes = it.around.routes;
    routes["extra"] = routes.begin()->second;
    soak::configure(it.around);
    it.pass(soak::configuration_limit);
    for (std::size_t n = 0; n < it.hosts.hosts.size(); ++n)
        if (!answers_startup(it, n, "extra", "READY"))
            it.findings.push_back("configuration: no new route at " +
                                  it.hosts.hosts[n].name);
    routes.erase("extra");
    soak::configure(it.around);
    it.pass(soak::configuration_limit);
    for (std::size_t n = 0; n < it.hosts.hosts.size(); ++n)
        if (!answers_startup(it, n, "extra", "ERROR NODB"))
            it.findings.push_back(
                "configuration: a dropped route is served by " +
                it.hosts.hosts[n].name);
}

void start(soak_run& it, const std::string& folder)
{
    soak::start_deployment(it.around, FLAGS_groups,
                           FLAGS_seed % 4 == 3 ? 1 : 0);
    for (auto& [name, d] : it.around.databases)
        d->group.former_primary_leads = !FLAGS_fencing;
    soak::fleet_options options;
    options.fencing = FLAGS_fencing;
    options.program = FLAGS_program;
    options.work_folder = folder;
    options.store_port = it.around.store.port();
    options.hosts = FLAGS_hosts > 0 ? FLAGS_hosts : 3 + FLAGS_seed % 6;
    soak::start_fleet(it.hosts, options);
    soak::start_load(it.callers, FLAGS_callers);
}

void play(soak_run& it)
{
    if (!await_service(it))
        return;
    soak::start_trouble(it.faults);
    it.pass(std::chrono::seconds(FLAGS_seconds));
    soak::stop_trouble(it.faults);
    const auto recovered = await_service(it);
    if (!recovered)
        return;
    std::printf("recovered within %lld ms\n",
                static_cast<long long>(recovered->count()));
    check_configuration(it);
    check_graceful_end(it);
    check_leaving(it);
}

void collect(soak_run& it, const std::string& folder)
{
    auto& all = it.findings;
    const auto reports = scenario::find_fault_reports(folder);
    all.insert(all.end(), reports.begin(), reports.end());
    const auto& told = it.around.judge.violations;
    const auto& ended = it.hosts.violations;
    all.insert(all.end(), told.begin(), told.end());
    all.insert(all.end(), ended.begin(), ended.end());
}

void print(const soak_run& it)
{
    std::printf("seed %u: %zu hosts, %llu reads and %llu writes on members\n",
                FLAGS_seed, it.hosts.hosts.size(),
                static_cast<unsigned long long>(it.around.judge.reads),
                static_cast<unsigned long long>(it.around.judge.writes));
    for (const auto& [name, n] : it.faults.played)
        std::printf("  %s %u\n", name.c_str(), n);
    for (const auto& n : it.findings)
        std::printf("FAILED %s\n", n.c_str());
}

}  // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "runs hosts of the mode pooler under random faults and checks what "
        "callers are told");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto folder = work_folder();
    soak_run it;
    start(it, folder);
    play(it);
    soak::stop_load(it.callers);
    soak::end_fleet(it.hosts);
    soak::stop_deployment(it.around);
    it.pass(100ms);
    collect(it, folder);
    print(it);
    const bool failed = !it.findings.empty();
    if (failed || FLAGS_keep)
        std::printf("logs are in %s\n", folder.c_str());
    else
        fs::remove_all(folder);
    std::printf("%s\n", failed ? "FAILED" : "passed");
    return failed ? 1 : 0;
}
