#include "options.hpp"

#include <gflags/gflags.h>

#include <cstdlib>
#include <sstream>

#include "godwitbarrow/platform/environment.hpp"
#include "godwitbarrow/settings/units.hpp"

DEFINE_string(mode, "gateway",
              "gateway: requests over HTTP; pooler: sessions of the platform");
DEFINE_string(host_settings, "",
              "settings file of this host for --mode=pooler; without it, the "
              "file that the platform names");
DEFINE_string(change_limit, "",
              "longest time for which a lost call to the store may hide a "
              "change of the configuration, for example 4s; at least 1500ms; "
              "for --mode=pooler");
DEFINE_string(host, "", "name of this host in the settings");
DEFINE_string(platform, "", "address of the platform's service, IP:PORT");
DEFINE_string(folder, "",
              "folder of settings that this host publishes; empty for none");
DEFINE_string(
    seeds, "",
    "peer addresses IP:PORT, separated by commas, that are asked for the "
    "settings if the platform's service is down at the start");
DEFINE_uint32(workers, 4, "worker threads, 1 to 64");
DEFINE_string(log_level, "info", "debug, info, warning or error");

namespace godwitbarrow::proxy
{
namespace detail
{
namespace
{

constexpr std::size_t most_workers = 64;
/// The calls that a host follows the configuration by need this long.
constexpr std::chrono::milliseconds shortest_change_limit{1500};

core::error bad_flag(const std::string& flag, const std::string& remedy)
{
    return {core::error_kind::invalid_settings, "--" + flag + ": " + remedy};
}

core::result<std::vector<core::endpoint>> parse_seeds(const std::string& text)
{
    std::vector<core::endpoint> it;
    std::istringstream in(text);
    for (std::string n; std::getline(in, n, ',');)
    {
        auto parsed = core::parse_endpoint(n);
        if (!ok(parsed))
            return bad_flag("seeds", std::get<core::error>(parsed).message);
        it.push_back(std::get<core::endpoint>(std::move(parsed)));
    }
    return it;
}

core::result<options> pooler_options()
{
    options it;
    it.mode = process_mode::pooler;
    it.host_settings = FLAGS_host_settings;
    const auto* named = std::getenv(platform::settings_variable);
    if (it.host_settings.empty() && named)
        it.host_settings = named;
    if (it.host_settings.empty())
        return bad_flag("host_settings", "name the settings file of this host");
    if (FLAGS_change_limit.empty())
        return it;
    it.change_limit = settings::parse_duration(FLAGS_change_limit);
    if (!it.change_limit || *it.change_limit < shortest_change_limit)
        return bad_flag("change_limit",
                        "write a time with its unit, at least 1500ms");
    return it;
}

}  // namespace
}  // namespace detail

core::result<options> parse_options(int argc, char** argv)
{
    gflags::SetUsageMessage("database proxy with session consistency");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    options it;
    if (argc > 1)
        return core::error{core::error_kind::invalid_settings,
                           std::string("\"") + argv[1] +
                               "\" is not a flag; see --help for the flags"};
    if (FLAGS_mode == "pooler")
        return detail::pooler_options();
    if (FLAGS_mode != "gateway")
        return detail::bad_flag("mode", "write gateway or pooler");
    if (FLAGS_host.empty())
        return detail::bad_flag("host", "name this host as the settings do");
    it.host = {FLAGS_host};
    auto platform = core::parse_endpoint(FLAGS_platform);
    if (!ok(platform))
        return detail::bad_flag("platform",
                                std::get<core::error>(platform).message);
    it.platform = std::get<core::endpoint>(std::move(platform));
    it.folder = FLAGS_folder;
    auto seeds = detail::parse_seeds(FLAGS_seeds);
    if (!ok(seeds))
        return std::get<core::error>(seeds);
    it.seeds = std::get<std::vector<core::endpoint>>(std::move(seeds));
    if (FLAGS_workers == 0 || FLAGS_workers > detail::most_workers)
        return detail::bad_flag("workers", "use a number from 1 to 64");
    it.workers = FLAGS_workers;
    const auto level = telemetry::parse_log_level(FLAGS_log_level);
    if (!level)
        return detail::bad_flag("log_level",
                                "use debug, info, warning or error");
    it.level = *level;
    return it;
}

}  // namespace godwitbarrow::proxy
